/// Measures how the control cost of one node depends on the fleet's size, fits the slopes and
/// compares the cost at the expected two-year size with its budgets. Exits with status 1 if a
/// budget is exceeded.

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "documents.hpp"
#include "region_model.hpp"

using namespace snipeplank;
using namespace snipeplank::slopes;

namespace
{

constexpr core::seconds measured_time{90};
constexpr std::uint64_t seed = 20260101;

struct figure
{
    const char* name;
    const char* unit;
    double measurement::*value;
};

const figure figures[] = {
    {"cpu", "percent_of_a_core", &measurement::cpu_percent},
    {"gossip_cpu", "percent_of_a_core", &measurement::gossip_cpu_percent},
    {"build", "ms", &measurement::build_ms},
    {"memory", "bytes", &measurement::memory_bytes},
    {"peak_memory", "bytes", &measurement::peak_memory_bytes},
    {"bytes_mean", "bytes_per_s", &measurement::bytes_per_second},
    {"bytes_worst", "bytes_per_s", &measurement::max_bytes_per_second},
    {"service_bytes", "bytes_per_s", &measurement::service_bytes_per_second},
    {"in_force", "s", &measurement::seconds_to_force},
    {"load_coverage", "part", &measurement::load_coverage},
    {"region_coverage", "part", &measurement::region_coverage},
};

struct budget
{
    const char* name;
    double measurement::*value;
    double limit;
};

const budget budgets[] = {
    {"cpu_percent", &measurement::cpu_percent, 3.8},
    {"peak_memory_bytes", &measurement::peak_memory_bytes, 64.0 * 1024 * 1024},
    {"bytes_per_s_of_the_busiest_node", &measurement::max_bytes_per_second, 6'000},
    {"seconds_to_force", &measurement::seconds_to_force, 11},
};

struct dimension
{
    const char* name;
    std::vector<double> values;
    std::function<void(fleet_size&, double)> set;
};

std::vector<dimension> dimensions()
{
    const auto count = [](double value) { return static_cast<std::size_t>(value); };
    return {
        {"nodes_in_region",
         {10, 20, 38, 60},
         [=](fleet_size& size, double value) { size.nodes = count(value); }},
        {"regions",
         {3, 9, 21, 30},
         [=](fleet_size& size, double value) { size.regions = count(value); }},
        {"servers_in_region",
         {40, 81, 162, 324},
         [=](fleet_size& size, double value) { size.servers = count(value); }},
        {"accounts",
         {1'000, 5'500, 11'000, 22'000},
         [=](fleet_size& size, double value) { size.accounts = count(value); }},
        {"changes_per_day",
         {1'425, 2'850, 5'700, 11'400},
         [](fleet_size& size, double value) { size.changes_per_day = value; }},
    };
}

measurement measure(const fleet_size& size)
{
    return region_model(size, seed).run(measured_time);
}

void print_point(const char* dimension, double value, const measurement& measured)
{
    std::printf("{\"kind\":\"point\",\"dimension\":\"%s\",\"value\":%g", dimension, value);
    for (const figure& item : figures)
        std::printf(",\"%s_%s\":%.4g", item.name, item.unit, measured.*item.value);
    std::printf("}\n");
    std::fflush(stdout);
}

/// Slope and intercept of a least-squares fit.
std::pair<double, double> fit(const std::vector<double>& x, const std::vector<double>& y)
{
    const auto n = static_cast<double>(x.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        sum_x += x[i];
        sum_y += y[i];
        sum_xx += x[i] * x[i];
        sum_xy += x[i] * y[i];
    }
    const double slope = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
    return {slope, (sum_y - slope * sum_x) / n};
}

void sweep(const dimension& swept, const measurement& base, double base_value)
{
    std::vector<measurement> measured;
    for (const double value : swept.values)
    {
        fleet_size size;
        swept.set(size, value);
        measured.push_back(value == base_value ? base : measure(size));
        print_point(swept.name, value, measured.back());
    }
    for (const figure& item : figures)
    {
        std::vector<double> y;
        for (const measurement& point : measured)
            y.push_back(point.*item.value);
        const auto [slope, intercept] = fit(swept.values, y);
        std::printf("{\"kind\":\"slope\",\"dimension\":\"%s\",\"figure\":\"%s_%s\",\"slope\":%.4g,"
                    "\"intercept\":%.4g}\n",
                    swept.name, item.name, item.unit, slope, intercept);
    }
}

void print_faults()
{
    constexpr double minute = 60;
    const std::pair<const char*, fault> faults[] = {
        {"none", fault::none},
        {"host_lost", fault::host_lost},
        {"host_restarted", fault::host_restarted},
        {"rack_of_8_lost", fault::rack_lost},
        {"zone_of_19_restarted", fault::zone_restarted},
        {"partition_of_zones", fault::partition},
        {"healing_of_zones", fault::healing},
    };
    for (const auto& [name, kind] : faults)
    {
        const fault_cost cost = region_model(fleet_size{}, seed).run_fault(kind);
        std::printf("{\"kind\":\"fault\",\"fault\":\"%s\",\"mean_bytes_in_60_s\":%.0f,"
                    "\"worst_bytes_in_60_s\":%.0f,\"mean_bytes_per_s\":%.0f}\n",
                    name, cost.mean_bytes, cost.max_bytes, cost.mean_bytes / minute);
        std::fflush(stdout);
    }
}

void print_documents()
{
    const fleet_size size;
    const documents made = make_documents(1, size.regions, size.accounts);
    std::printf("{\"kind\":\"documents\",\"manifest_bytes\":%zu,\"sections\":%zu,"
                "\"section_bytes\":%zu}\n",
                made.manifest.size(), made.sections.size(), made.section_bytes());
}

bool print_budgets(const measurement& base)
{
    bool within = true;
    for (const budget& item : budgets)
    {
        const double value = base.*item.value;
        const bool ok = value <= item.limit;
        within = within && ok;
        std::printf("{\"kind\":\"budget\",\"figure\":\"%s\",\"value\":%.4g,\"budget\":%.4g,"
                    "\"within\":%s}\n",
                    item.name, value, item.limit, ok ? "true" : "false");
    }
    return within;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "faults")
    {
        print_faults();
        return 0;
    }
    print_documents();
    const bool only_base = mode == "base";
    const measurement base = measure(fleet_size{});
    print_point("two_year_size", 1, base);
    if (!only_base)
    {
        constexpr std::size_t two_year_index = 2;
        for (const dimension& swept : dimensions())
            sweep(swept, base, swept.values[two_year_index]);
    }
    return print_budgets(base) ? 0 : 1;
}
