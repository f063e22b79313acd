# A local fleet: one platform stand-in, two engines, one plain service and two daemons on loopback.
# To be sourced after lib.sh. Every process is ended by its id.
platform_port=17000
engine_ports=(17101 17102)
service_port=17201
caller_ports=(17301 17311)
admin_ports=(17303 17313)
admin_credential=admin-secret
work=$(mktemp -d)
pids=()

start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
}

stop_fleet() {
    local pid
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}

wait_for() {
    local url=$1 tries=0
    until curl -fsS -o /dev/null "$url" 2>/dev/null; do
        tries=$((tries + 1))
        [ $tries -lt 200 ] || { echo "no answer from $url" >&2; return 1; }
        sleep 0.1
    done
}

write_settings() {
    local host=$1 base=$2
    cat >"$work/$host.yaml" <<YAML
host: $host
region: home
failureDomain: home-1
listen: { ip: 127.0.0.1, callerPort: $base, peerPort: $((base + 1)), adminPort: $((base + 2)) }
credentials: { peer: peer-secret, admin: $admin_credential }
platform:
  objectApiIp: 127.0.0.1
  objectApiPort: $platform_port
  hostListIp: 127.0.0.1
  hostListPort: $platform_port
YAML
}

write_manifest() {
    local adapters=$1 index digest
    digest=$(printf 'caller-secret' | sha256sum | cut -d' ' -f1)
    {
        echo "apiVersion: jackdawlead/v1"
        echo "release: demo-1"
        echo "models: [{ name: base }]"
        echo "pools:"
        echo "  - { name: assistants, kind: engine, model: base, slots: 4 }"
        echo "  - { name: orders, kind: plain }"
        echo "customers: [{ name: shop, tokenDigests: [$digest] }]"
        echo "adapters:"
        for index in $(seq 1 "$adapters"); do
            echo "  - { name: adapter-$index, model: base, versions: [{ version: \"1\", source: adapter-$index/1 }] }"
        done
        echo "services:"
        echo "  - name: drafts"
        echo "    pool: assistants"
        echo "    callers: [shop]"
        echo "    adapters: [$(seq -s, -f 'adapter-%g' 1 "$adapters")]"
        echo "  - { name: orders, pool: orders, callers: [shop], repeatable: false }"
    } >"$work/manifest.yaml"
}

host_entry() {
    printf '{"name":"%s","role":"%s","ip":"127.0.0.1","port":%d,"pool":"%s","region":"home","failureDomain":"home-1","state":"live"}' "$@"
}

start_fleet() {
    trap stop_fleet EXIT
    start platform "$build/tests/fakes/fakeplatform" --port $platform_port
    wait_for "http://127.0.0.1:$platform_port/v1/hosts"
    curl -fsS -X PUT "http://127.0.0.1:$platform_port/v1/hosts" -o /dev/null -d "{\"items\":[
        $(host_entry daemon-1 daemon 17302 ""), $(host_entry daemon-2 daemon 17312 ""),
        $(host_entry engine-1 endpoint ${engine_ports[0]} assistants),
        $(host_entry engine-2 endpoint ${engine_ports[1]} assistants),
        $(host_entry orders-1 endpoint $service_port orders)]}"
    start engine-1 "$build/tests/fakes/fakeengine" --port ${engine_ports[0]} --store-port $platform_port
    start engine-2 "$build/tests/fakes/fakeengine" --port ${engine_ports[1]} --store-port $platform_port
    start orders-1 "$build/tests/fakes/fakeservice" --port $service_port
    write_settings daemon-1 17301
    write_settings daemon-2 17311
    start daemon-1 "$build/src/app/jackdawleadd" --settings "$work/daemon-1.yaml"
    start daemon-2 "$build/src/app/jackdawleadd" --settings "$work/daemon-2.yaml"
    write_manifest 12
    "$build/src/tools/jackdawctl" apply "$work/manifest.yaml" --object-api 127.0.0.1:$platform_port
    wait_for "http://127.0.0.1:${admin_ports[0]}/readyz"
    wait_for "http://127.0.0.1:${admin_ports[1]}/readyz"
    wait_for_owners
}

# Both engines must have an owner before requests are sent.
wait_for_owners() {
    local tries=0 owners
    while :; do
        owners=$(curl -fsS "http://127.0.0.1:$platform_port/apis/jackdawlead.dev/v1/endpointowners" \
            | { grep -o '"holder":"daemon-[12]"' || true; } | wc -l)
        [ "$owners" -eq 2 ] && return
        tries=$((tries + 1))
        [ $tries -lt 200 ] || { echo "engines have no owner" >&2; return 1; }
        sleep 0.1
    done
}
