#include "decisions/bufferbudget.h"

#include <criterion/criterion.h>

#include <list>
#include <memory>
#include <random>

using namespace jackdawlead::decisions;

namespace {

constexpr std::size_t megabyte = 1024UL * 1024;
constexpr std::size_t limit = 100 * megabyte;

} // namespace

// Guards against messages that are each within their limit and together exceed the memory of the
// process: 100 answers of 4 MB took it to 480 MB.
Test(bufferbudget, messagesTogetherStayWithinTheLimit)
{
    BufferBudget budget(limit);
    std::list<BufferBudget::Share> shares;
    int allowed = 0;
    for (int number = 0; number < 100; ++number)
        allowed += shares.emplace_back(budget).tryResize(4 * megabyte) ? 1 : 0;
    cr_assert_gt(allowed, 10);
    cr_assert_leq(budget.used(), limit);
}

// Guards against small messages that are refused because large ones take all of the budget.
Test(bufferbudget, smallMessagesFindRoomBesideLargeOnes)
{
    BufferBudget budget(limit);
    std::list<BufferBudget::Share> shares;
    while (shares.emplace_back(budget).tryResize(megabyte)) { }
    cr_assert_not(budget.isLargePartUsed() && budget.used() > limit);
    for (int number = 0; number < 100; ++number)
        cr_assert(shares.emplace_back(budget).tryResize(BufferBudget::smallMessageBytes));
}

// Guards against bytes that stay counted after their message has ended, or count twice: the
// process would refuse everything after some time.
Test(bufferbudget, sharesReturnWhatTheyHold)
{
    BufferBudget budget(limit);
    std::minstd_rand random(7);
    std::list<BufferBudget::Share> shares;
    for (int step = 0; step < 20000; ++step) {
        const std::size_t size = random() % (8 * megabyte);
        if (shares.size() < 20)
            shares.emplace_back(budget);
        else if (random() % 4 == 0)
            shares.erase(std::next(shares.begin(), static_cast<int>(random() % shares.size())));
        const std::size_t before = shares.back().size();
        const bool isAllowed = shares.back().tryResize(size);
        cr_assert_eq(shares.back().size(), isAllowed ? size : before);
        std::size_t sum = 0;
        for (const BufferBudget::Share &share : shares)
            sum += share.size();
        cr_assert_eq(budget.used(), sum);
    }
    shares.clear();
    cr_assert_eq(budget.used(), 0);
}

// Guards against a message that may not shrink, or whose bytes that are held already are not
// counted, because the budget is exceeded.
Test(bufferbudget, exceededBudgetStillRecordsAndShrinks)
{
    BufferBudget budget(megabyte);
    BufferBudget::Share output(budget);
    output.resize(3 * megabyte);
    cr_assert_eq(budget.used(), 3 * megabyte);
    cr_assert(budget.isLargePartUsed());
    BufferBudget::Share other(budget);
    cr_assert_not(other.tryResize(1));
    cr_assert(output.tryResize(2 * megabyte));
    cr_assert_eq(budget.used(), 2 * megabyte);
}
