#include "net/startsignals.h"

#include <csignal>
#include <initializer_list>

namespace jackdawlead::net {

namespace {

sigset_t startSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, number);
    return signals;
}

} // namespace

void holdStartSignals()
{
    const sigset_t signals = startSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void deliverStartSignals()
{
    const sigset_t signals = startSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace jackdawlead::net
