#include "documents.hpp"

#include <snipeplank/core/hash.hpp>
#include <snipeplank/core/ids.hpp>
#include <snipeplank/settings/published_config.hpp>

namespace snipeplank::slopes
{

namespace
{

std::string region_name(std::size_t index)
{
    return "region-" + std::to_string(index);
}

std::string fleet_section(std::size_t regions)
{
    std::string text = "regions:\n";
    for (std::size_t i = 0; i < regions; ++i)
    {
        const std::string name = region_name(i);
        text.append("  ").append(name).append(": [").append(name).append("-a, ");
        text.append(name).append("-b]\n");
    }
    text += "links:\n";
    for (std::size_t a = 0; a < regions; ++a)
    {
        for (std::size_t b = a + 1; b < regions; ++b)
        {
            text.append("  - between: [").append(region_name(a)).append(", ");
            text.append(region_name(b)).append("]\n    delay_ms: 80\n");
            text += "    megabits_per_second: 2000\n    spill_share: 0.25\n";
        }
    }
    text += "weight_store:\n  region: region-0\n  megabits_per_second: 400\n";
    text += "routing:\n  policy: adaptive\n  weights:\n    latency: 1\n    cost: 0.2\n"
            "    away: 0.5\n";
    return text;
}

std::string services_section()
{
    constexpr int models = 4;
    std::string text = "services:\n";
    for (int i = 0; i < models; ++i)
    {
        text.append("  model-").append(std::to_string(i));
        text += ":\n    kind: model\n    residency: free\n    deadline_ms: 60000\n"
                "    calls_per_upstream: 16\n    engine:\n      checks_fencing: true\n"
                "      resumes_streams: false\n";
    }
    text += "  booking:\n    kind: plain\n    residency: bound\n"
            "    non_idempotent_methods: [POST]\n    ticket: optional\n"
            "    not_run_statuses: [429, 503]\n";
    return text;
}

/// The sections with accounts, by name.
std::map<std::string, std::string> account_sections(std::uint64_t version, std::size_t regions,
                                                    std::size_t accounts)
{
    std::map<std::string, std::string> sections;
    for (std::size_t i = 0; i < accounts; ++i)
    {
        const std::string id = "account-" + std::to_string(i);
        const bool changed = i == version * 7'919 % accounts;
        std::string& text = sections[settings::account_section_name(core::account_id{id})];
        if (text.empty())
            text = "accounts:\n";
        text.append("  - id: ").append(id).append("\n    key_sha256: ");
        text.append(core::sha256_hex(id)).append("\n    home: ");
        text.append(region_name(i % regions)).append("\n    calls_per_second: ");
        text.append(changed ? std::to_string(version) : "50").append("\n    burst: 100\n");
    }
    return sections;
}

} // namespace

std::size_t documents::section_bytes() const
{
    std::size_t total = 0;
    for (const auto& [hash, text] : sections)
        total += text.size();
    return total;
}

documents make_documents(std::uint64_t version, std::size_t regions, std::size_t accounts)
{
    std::map<std::string, std::string> by_name = account_sections(version, regions, accounts);
    by_name["fleet"] = fleet_section(regions);
    by_name["services"] = services_section();
    documents made;
    made.manifest = "version: " + std::to_string(version) + "\nsections:\n";
    for (const auto& [name, text] : by_name)
    {
        const std::string hash = core::sha256_hex(text);
        made.sections[hash] = text;
        made.manifest.append("  - name: ").append(name).append("\n    hash: ");
        made.manifest.append(hash).append("\n");
    }
    return made;
}

} // namespace snipeplank::slopes
