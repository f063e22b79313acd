#include "core/keydigest.h"
#include "decisions/customers/customerkeys.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace jackdawlead;

namespace {

std::string keyOf(int customer, int bytes)
{
    std::string key = "sk-" + std::to_string(customer) + "-";
    key.resize(static_cast<std::size_t>(bytes), 'k');
    return key;
}

} // namespace

/// The check of one request's key: digest and look-up among the keys of some customers. Arguments:
/// customers, bytes of a key.
static void checkKey(benchmark::State &state)
{
    const auto count = static_cast<int>(state.range(0));
    const auto bytes = static_cast<int>(state.range(1));
    std::vector<fleet::Customer> customers;
    for (int index = 0; index < count; ++index) {
        fleet::Customer customer;
        customer.name = core::CustomerId("customer" + std::to_string(index));
        customer.keys.push_back(core::KeyDigest::of(keyOf(index, bytes)));
        customers.push_back(std::move(customer));
    }
    const decisions::customers::CustomerKeys keys(customers);
    const std::string key = keyOf(count / 2, bytes);
    for (auto step : state) {
        (void)step;
        benchmark::DoNotOptimize(keys.find(core::KeyDigest::of(key)));
    }
}
BENCHMARK(checkKey)->Args({16, 40})->Args({16, 200})->Args({1000, 40});

BENCHMARK_MAIN();
