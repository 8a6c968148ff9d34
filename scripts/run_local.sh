#!/usr/bin/env bash
# Builds and runs the whole path on this machine: one instance with the entry
# and control roles, agents beside a fake engine and a fake service; sends a
# real request and prints the streamed answer. Ends what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build -q --workspace --bins --examples
bin=$PWD/target/debug
dir=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT

echo "a secret of this local cluster" > "$dir/cluster.secret"
echo "mwop-local-operator-key" > "$dir/operator.key"
instance() { # name listen
    printf '[instance]\nname = "%s"\nzone = "zone-a"\nregion = "region-a"\nlisten = "%s"\nsecret_file = "%s"\nseeds = ["127.0.0.1:17100"]\n[log]\nfile = "%s"\n' \
        "$1" "$2" "$dir/cluster.secret" "$dir/$1.log"
}
{
    instance control-0 127.0.0.1:17100
    printf '[entry]\ncaller_listen = "127.0.0.1:17080"\n'
    printf '[control]\noperator_listen = "127.0.0.1:17090"\ndata_folder = "%s"\noperator_key_file = "%s"\nbootstrap = true\n' \
        "$dir/data" "$dir/operator.key"
} > "$dir/serve.toml"
{
    instance agent-engine 127.0.0.1:17101
    printf '[endpoint]\nname = "engine-0"\npool = "assistant"\nkind = "engine"\naddress = "127.0.0.1:17201"\nmemory_mib = 48000\nslots = 32\nchecks_fencing = true\n'
} > "$dir/engine.toml"
{
    instance agent-service 127.0.0.1:17102
    printf '[endpoint]\nname = "payments-0"\npool = "payments"\nkind = "service"\naddress = "127.0.0.1:17202"\n'
} > "$dir/service.toml"
cat > "$dir/plans.toml" <<'T'
[[plan]]
name = "gold"
rate = 20000
burst = 60000
[[account]]
name = "medellin"
plan = "gold"
T
cat > "$dir/grants.toml" <<'T'
[[model]]
name = "payroll"
pool = "assistant"
memory_mib = 4000
[[service]]
name = "payments"
[[service.route]]
method = "POST"
path = "/orders"
[[grant]]
plan = "gold"
models = ["payroll"]
services = ["payments"]
T

"$bin/examples/fake_engine" 127.0.0.1:17201 payroll & pids+=($!)
"$bin/examples/fake_service" 127.0.0.1:17202 & pids+=($!)
"$bin/mulberrywell" serve --settings "$dir/serve.toml" & pids+=($!)
"$bin/mulberrywell-agent" --settings "$dir/engine.toml" & pids+=($!)
"$bin/mulberrywell-agent" --settings "$dir/service.toml" & pids+=($!)

export MULBERRYWELL_CONTROL=127.0.0.1:17090 MULBERRYWELL_OPERATOR_KEY_FILE=$dir/operator.key
retry() { for _ in $(seq 100); do "$@" 2>/dev/null && return 0; sleep 0.1; done; "$@"; }
retry "$bin/mulberrywell" apply --plans "$dir/plans.toml" --grants "$dir/grants.toml"
key=$("$bin/mulberrywell" key give medellin first-key)
retry curl -sf http://127.0.0.1:17080/readyz > "$dir/ready"
live() { "$bin/mulberrywell" show endpoints | grep -q 'engine-0.*LIVE.*payroll'; }
retry live
"$bin/mulberrywell" show endpoints
sleep 1
echo "== streamed answer"
curl -sN http://127.0.0.1:17080/v1/chat/completions -H "Authorization: Bearer $key" \
    -d '{"model":"payroll","messages":[{"role":"user","content":"Close my month."}],"max_tokens":5,"stream":true}'
echo "== service call"
curl -s http://127.0.0.1:17080/services/payments/orders -H "Authorization: Bearer $key" -d 'order 1'
echo
