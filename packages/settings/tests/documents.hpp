/// @file
/// Valid documents that tests modify, and helpers for them.

#ifndef SNIPEPLANK_SETTINGS_TESTS_DOCUMENTS_HPP
#define SNIPEPLANK_SETTINGS_TESTS_DOCUMENTS_HPP

#include <snipeplank/core/hash.hpp>
#include <snipeplank/settings/published_config.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>
#include <utility>

namespace snipeplank::settings::tests
{

inline const std::string valid_node = R"(node:
  caller_address: 127.0.0.1:9000
  peer_address: 127.0.0.1:9001
  admin_address: 127.0.0.1:9002
  region: salzkammer
  zone: salzkammer-a
platform:
  config_service: [127.0.0.1:8500, 127.0.0.1:8501]
  host_list: 127.0.0.1:8600
fleet:
  keys:
    - 00112233445566778899AABBCCDDEEFF
limits:
  max_connections: 100
  max_body_bytes: 2000
log:
  format: json
  level: warning
)";

inline const std::string valid_fleet = R"(regions:
  salzkammer: [salzkammer-a]
  ennstal: [ennstal-a, ennstal-b]
links:
  - between: [salzkammer, ennstal]
    delay_ms: 80
    megabits_per_second: 2000
    spill_share: 0.25
weight_store:
  region: salzkammer
  megabits_per_second: 400
routing:
  policy: adaptive
  weights:
    latency: 1
    cost: 0.2
    away: 0.5
)";

inline const std::string valid_services = R"(services:
  kiln-model:
    kind: model
    residency: free
    deadline_ms: 60000
    calls_per_upstream: 16
    engine:
      checks_fencing: true
      resumes_streams: false
  booking:
    kind: plain
    residency: bound
    non_idempotent_methods: [POST]
    ticket: optional
    not_run_statuses: [429, 503]
)";

inline const std::string account_key(64, 'a');

/// @brief Section name and text of one account.
inline std::pair<std::string, std::string> account_section(const std::string& id,
                                                           const std::string& home)
{
    return {account_section_name(core::account_id{id}),
            "accounts:\n  - id: " + id + "\n    key_sha256: " + account_key +
                "\n    home: " + home + "\n    calls_per_second: 5.5\n    burst: 9\n"};
}

/// @brief Replaces the first occurrence; fails the test when there is none.
inline std::string replace_first(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t at = text.find(from);
    CHECK_TRUE_TEXT(at != std::string::npos, from.c_str());
    return text.replace(at, from.size(), to);
}

/// @brief Builds a configuration from section texts by name.
inline core::result<published_config> build(const std::map<std::string, std::string>& by_name)
{
    manifest index;
    index.version = core::config_version{7};
    std::map<std::string, std::string> sections;
    for (const auto& [name, text] : by_name)
    {
        const std::string hash = core::sha256_hex(text);
        index.sections.push_back({name, hash});
        sections[hash] = text;
    }
    return build_config(index, sections);
}

/// @brief Fails the test unless the result is an error that contains `expected` and has a remedy.
template <typename Value>
void check_refused(const core::result<Value>& result, const std::string& expected,
                   const std::string& what)
{
    CHECK_TRUE_TEXT(!result, ("accepted: " + what).c_str());
    if (result)
    {
        return;
    }
    const std::string text = result.error().to_string();
    CHECK_TRUE_TEXT(text.find(expected) != std::string::npos, (what + " gave " + text).c_str());
    CHECK_FALSE_TEXT(result.error().remedy.empty(), what.c_str());
}

} // namespace snipeplank::settings::tests

#endif
