# Shared by the scripts of this folder: packages, build, and the local fleet of stand-ins.
set -euo pipefail
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${JACKDAWLEAD_BUILD:-$top/build}

packages="g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl python3
    libevent-dev libjsonrpccpp-dev prometheus-cpp-dev libboost-program-options-dev
    liblog4cplus-dev libabsl-dev libyaml-cpp-dev libcriterion-dev nlohmann-json3-dev
    libxxhash-dev libssl-dev libbenchmark-dev libhttp-parser-dev"

install_packages() {
    local missing=""
    for package in $packages; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
            || missing="$missing $package"
    done
    [ -z "$missing" ] && return
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
}

build_all() {
    cmake -S "$top" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    ninja -C "$build" --quiet
}
