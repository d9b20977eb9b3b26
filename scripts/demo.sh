#!/usr/bin/env bash
# Starts a small cell on the loopback interface, demonstrates its functions step by
# step and checks the results. Exits with 1 if a check fails. DEMO_PRESET selects the
# build preset (default: release). scripts/transcript.sh sources this file for its
# functions.
set -euo pipefail

preset=${DEMO_PRESET:-release}
first_port=21000
last_port=21999
failed_steps=0
declare -A pids=()

say() { printf '\n== %s\n' "$*"; }
note() { printf '   %s\n' "$*"; }

# expect TEXT COMMAND...: runs a check, prints its result and counts a failure.
expect() {
  local text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    printf '   [passed] %s\n' "$text"
  else
    printf '   [FAILED] %s\n' "$text"
    failed_steps=$((failed_steps + 1))
  fi
}

contains() { [[ $1 == *"$2"* ]]; }

random_secret() { od -An -N24 -tx1 /dev/urandom | tr -d ' \n'; }
hash_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

is_port_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

next_port=$((first_port + (RANDOM % 40) * 20))
# Sets `port` to a port without a listener.
take_port() {
  while ! is_port_free "$next_port"; do
    next_port=$((next_port + 1))
  done
  port=$next_port
  next_port=$((next_port + 1))
  if [ "$next_port" -gt "$last_port" ]; then
    next_port=$first_port
  fi
}

# http METHOD PORT PATH [BODY]: sends an HTTP request to a local port and prints
# the response body.
http() {
  local body=${4:-}
  exec 3<>"/dev/tcp/127.0.0.1/$2"
  printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&3
  sed '1,/^\r*$/d' <&3
  exec 3<&- 3>&-
}

# number_in JSON NAME: prints the value of an integer member of a flat JSON object.
number_in() { grep -oE "\"$2\":[0-9]+" <<<"$1" | head -n 1 | cut -d: -f2; }

now_ms() { date +%s%3N; }

# start NAME COMMAND...: starts a background process that logs to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME [SIGNAL]: stops a process started by `start` and returns its exit code.
stop() {
  local id=${pids[$1]}
  unset "pids[$1]"
  kill -"${2:-TERM}" "$id" 2>/dev/null || true
  wait "$id" 2>/dev/null
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

# until_true SECONDS COMMAND...: repeats the command until it succeeds; fails after
# SECONDS.
until_true() {
  local limit=$(($(now_ms) + $1 * 1000))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$(now_ms)" -gt "$limit" ]; then
      return 1
    fi
    sleep 0.05
  done
}

# Run the client as the operator or as a team. The secrets are set in the environment
# of the client only.
operator() {
  SHALLOTBANK_ENTRY=${via:-$all_entries} SHALLOTBANK_OPERATOR_KEY=$operator_key \
    "$bin/shallotbank" "$@"
}
team() {
  SHALLOTBANK_ENTRY=${via:-$all_entries} SHALLOTBANK_TEAM=$team_name \
    SHALLOTBANK_KEY=$team_key "$bin/shallotbank" "$@"
}

# shown ROLE ARGUMENTS...: prints the client command as typed in a shell, then runs
# it.
shown() {
  local prompt=${*:2}
  printf '\n   $ shallotbank %s%s\n' "${prompt//$work\//}" "${via:+   (through $via)}"
  "$@" 2>&1 | sed 's/^/   /'
}

start_platform() {
  local domain number
  take_port && log_port=$port
  take_port && list_port=$port
  take_port && worker_port=$port
  take_port && minion_port=$port
  {
    printf '{"hosts":['
    number=0
    for domain in caxias gramado lages; do
      for _ in 1 2; do
        number=$((number + 1))
        printf '{"name":"w%d","url":"http://127.0.0.1:%d/workers/w%d","role":"worker","domain":"%s","rack":"rack-%s","state":"live","cores_milli":64000,"memory_mib":262144,"accelerators":0},' \
          "$number" "$worker_port" "$number" "$domain" "$domain"
        printf '{"name":"m%d","url":"http://127.0.0.1:%d/minions/m%d","role":"minion","service":"oficina","domain":"%s","rack":"rack-%s","state":"live","slots":8,"connections":64}' \
          "$number" "$minion_port" "$number" "$domain" "$domain"
        [ "$number" -eq 6 ] || printf ','
      done
    done
    printf ']}\n'
  } >"$work/hosts.json"
  start log "$bin/log_standin" --port "$log_port"
  start hosts "$bin/hosts_standin" --port "$list_port" --hosts-file "$work/hosts.json"
  start workers "$bin/worker_standin" --port "$worker_port"
  start minions "$bin/minion_standin" --port "$minion_port"
}

# start_daemon KIND NUMBER: starts the daemon KIND (entry or sched) of host NUMBER on
# its ports in http_ports and rpc_ports.
start_daemon() {
  local domains=(caxias gramado lages curitiba) extra=()
  if [ "$1" = entry ]; then
    extra=(--operator-key-sha256 "$(hash_of "$operator_key")")
  fi
  start "$1$2" "$bin/shallotbank-$1" --host "host$2" \
    --domain "${domains[$((($2 - 1) % 4))]}" \
    --http "127.0.0.1:${http_ports[$1$2]}" --rpc "127.0.0.1:${rpc_ports[$1$2]}" \
    --log-url "http://127.0.0.1:$log_port/streams/shallotbank/records" \
    --hosts-url "http://127.0.0.1:$list_port/hosts" --peers "$peers" "${extra[@]}"
}

# choose_ports COUNT: assigns ports to the daemons of COUNT entry hosts.
choose_ports() {
  local number kind
  declare -gA http_ports=() rpc_ports=()
  peers=""
  all_entries=""
  for number in $(seq "$1"); do
    for kind in entry sched; do
      take_port && http_ports[$kind$number]=$port
      take_port && rpc_ports[$kind$number]=$port
      peers+="${peers:+,}127.0.0.1:$port"
    done
    all_entries+="${all_entries:+,}http://127.0.0.1:${http_ports[entry$number]}"
  done
}

entry_url() { printf 'http://127.0.0.1:%d' "${http_ports[entry$1]}"; }

# start_cell COUNT: starts the platform's stand-ins and COUNT entry hosts and waits
# until every host responds.
start_cell() {
  local number kind
  start_platform
  choose_ports "$1"
  for number in $(seq "$1"); do
    for kind in sched entry; do
      start_daemon "$kind" "$number"
    done
  done
  for number in $(seq "$1"); do
    via=$(entry_url "$number") until_true 20 operator show
  done
}

write_configuration() {
  cat >"$work/cell.json" <<END
{
  "format": "1.0",
  "policy": {"waiting_weight": 8, "share_weight": 2, "shards": 1,
             "largest_workers": [{"cores_milli": 64000, "memory_mib": 262144, "accelerators": 0}]},
  "organisations": [{"name": "serra-climbing", "weight": 2}, {"name": "gaucho-ropes", "weight": 1}],
  "teams": [
    {"name": "serra-workshop", "organisation": "serra-climbing", "weight": 1,
     "limit": {"cores_milli": 128000, "memory_mib": 524288, "accelerators": 0, "tasks": 32},
     "share": {"cores_milli": 64000, "memory_mib": 262144}},
    {"name": "gaucho-workshop", "organisation": "gaucho-ropes", "weight": 1,
     "limit": {"cores_milli": 64000, "memory_mib": 262144, "accelerators": 0, "tasks": 16},
     "share": {"cores_milli": 32000, "memory_mib": 131072}}
  ],
  "keys": [
    {"name": "serra-2026", "team": "serra-workshop", "sha256": "$(hash_of "$serra_key")"},
    {"name": "gaucho-2026", "team": "gaucho-workshop", "sha256": "$(hash_of "$gaucho_key")"}
  ],
  "queues": [{"name": "workshop", "open": false}, {"name": "counter", "open": true}],
  "services": [{"name": "oficina"}],
  "profiles": [
    {"name": "grind", "queue": "workshop", "class": "batch", "single_run": true, "attempts": 3,
     "need": {"cores_milli": 4000, "memory_mib": 8192}, "tasks": 1, "max_tasks": 64,
     "lease_ms": 120000, "expected_run_ms": 2000},
    {"name": "wear-report", "queue": "workshop", "class": "request", "idempotent": false,
     "service": "oficina", "deadline_ms": 10000},
    {"name": "quote", "queue": "counter", "class": "request", "priority": "urgent", "idempotent": true,
     "attempts": 3, "service": "oficina", "deadline_ms": 2000}
  ]
}
END
}

prepare() {
  cd "$(dirname "${BASH_SOURCE[0]}")/.."
  scripts/install_packages.sh
  cmake --preset "$preset" >/dev/null
  cmake --build --preset "$preset" --target shallotbank shallotbank-entry shallotbank-sched \
    log_standin hosts_standin worker_standin minion_standin
  work=$(mktemp -d)
  bin=$work/bin
  mkdir "$bin"
  local file
  for file in client/shallotbank entry/shallotbank-entry sched/shallotbank-sched \
    standins/{log,hosts,worker,minion}_standin; do
    ln -s "$PWD/build/$preset/apps/$file" "$bin/"
  done
  # The daemons refuse to start with unknown SHALLOTBANK_ variables.
  unset "${!SHALLOTBANK_@}"
  operator_key=$(random_secret)
  serra_key=$(random_secret)
  gaucho_key=$(random_secret)
  team_name=serra-workshop
  team_key=$serra_key
  via=""
  trap stop_all EXIT
}

# Prints the number of the host whose scheduler owns the shard.
shard_owner() { operator hosts 2>/dev/null | awk '$2 == "sched" && / up .*shard-0/ {print substr($1, 5); exit}'; }
has_shard_owner() { [ -n "$(shard_owner)" ]; }
state_of() { team status "$1" | awk '$1 == "state" {print $2}'; }
has_state() { [ "$(state_of "$1")" = "$2" ]; }
# Prints the status of a job as reported by one host, without the members `source`
# and `owner`, which tell where the host obtained it.
answer_on() { via=$1 team status --json "$2" 2>&1 | grep -vE '"(source|owner)":'; }
has_ended_well() { has_state "$1" succeeded; }

step_publish() {
  say "1. An operator publishes a configuration: two organisations, their keys and limits"
  shown operator publish --wait "$work/cell.json" || true
  shown operator show || true
  expect "the configuration is in effect" contains "$(operator show)" gaucho-workshop
  expect "a scheduler owns the shard" until_true 10 has_shard_owner
}

is_quote_answered() { team request quote <<<"quote, please" 2>/dev/null; }

step_quote() {
  say "2. A client requests a quote through entry host 1 and receives the minion's complete response"
  via=$(entry_url 1)
  # After the start, the hosts first claim the minion groups through the log.
  expect "the minions accept requests" until_true 20 is_quote_answered
  local answer body="shoes size 41, two half soles, toe rand worn through"
  printf '\n   $ shallotbank request quote <<<"%s"   (through %s)\n' "$body" "$via"
  answer=$(printf '%s' "$body" | team request quote 2>&1) || true
  note "$answer"
  expect "the response contains the complete request" contains "$answer" "\"echo\":\"$body\""
  body=$(head -c 200000 /dev/zero | tr '\0' x)
  answer=$(printf '%s' "$body" | team request quote 2>&1) || true
  note "response to a request of 200,000 bytes: ${#answer} bytes"
  expect "the large response is complete, too" contains "$answer" "\"echo\":\"$body\""
  via=""
}

step_job() {
  say "3. A team submits a grind job through entry host 1; it is placed, runs and completes"
  local job
  via=$(entry_url 1)
  printf '\n   $ shallotbank submit grind --tasks 3 --expected-run 2s\n'
  job=$(team submit grind --tasks 3 --expected-run 2s)
  note "$job"
  expect "the job runs" until_true 5 has_state "$job" running
  shown team status "$job" || true
  expect "entry host 2 reports the same status" \
    test "$(answer_on "$(entry_url 1)" "$job")" = "$(answer_on "$(entry_url 2)" "$job")"
  expect "the job completes" team status --wait "$job"
  say "4. Status of the same job through entry host 2"
  via=$(entry_url 2)
  expect "entry host 2 reports that the job succeeded" until_true 3 has_ended_well "$job"
  shown team status "$job" || true
  expect "both hosts report the same status" \
    test "$(answer_on "$(entry_url 1)" "$job")" = "$(answer_on "$(entry_url 2)" "$job")"
  via=""
}

step_wear_report() {
  say "5. A duplicate wear report through another host does not run again"
  local first second before after
  before=$(number_in "$(http GET "$minion_port" /control)" runs)
  via=$(entry_url 1)
  printf '\n   $ shallotbank request wear-report --request-id report-7 <<<"rope 12: sheath worn"   (through %s)\n' "$via"
  first=$(printf 'rope 12: sheath worn' | team request wear-report --request-id report-7 2>&1) || true
  note "$first"
  via=$(entry_url 3)
  printf '\n   the same command through %s\n' "$via"
  sleep 0.3
  second=$(printf 'rope 12: sheath worn' | team request wear-report --request-id report-7 2>"$work/replayed") || true
  note "$second"
  note "$(cat "$work/replayed")"
  after=$(number_in "$(http GET "$minion_port" /control)" runs)
  expect "the answer is the same" test "$first" = "$second"
  expect "the minions ran it once (runs: $before, then $after)" test $((after - before)) -eq 1
  via=""
}

step_withdraw() {
  say "6. The operator withdraws a leaked key; every host refuses it"
  local number answer code
  team_name=gaucho-workshop
  team_key=$gaucho_key
  expect "the key is accepted before its withdrawal" team list
  shown operator withdraw --wait gaucho-2026 || true
  for number in 1 2 3; do
    via=$(entry_url "$number")
    code=0
    answer=$(team submit grind 2>&1) || code=$?
    note "host$number: $(head -n 1 <<<"$answer") (exit code $code)"
    expect "host$number refuses the key" test "$code" -eq 3
  done
  via=""
  team_name=serra-workshop
  team_key=$serra_key
  expect "the other team's key is still accepted" team list
}

step_kill() {
  say "7. The scheduler that owns the shard is killed; another scheduler takes over"
  local owner long next since
  long=$(team submit grind --expected-run 6s)
  expect "a job runs before the kill" until_true 5 has_state "$long" running
  owner=$(shard_owner)
  note "host$owner owns the shard; its scheduler receives SIGKILL"
  stop "sched$owner" KILL || true
  since=$(now_ms)
  next=$(team submit grind --expected-run 1s)
  note "submitted $next right after the kill"
  expect "the new job is placed and succeeds" until_true 15 has_ended_well "$next"
  note "the new job, which runs for 1 s, succeeded $(($(now_ms) - since)) ms after the kill"
  shown operator hosts || true
  expect "the job that ran before the kill succeeds" until_true 15 has_ended_well "$long"
  expect "no task ran twice and no worker exceeded its capacity" is_clean
  start_daemon sched "$owner"
}

is_clean() {
  local seen
  seen=$(http GET "$worker_port" /control)
  [ "$(number_in "$seen" double_runs)" = 0 ] && [ "$(number_in "$seen" repeated_runs)" = 0 ] &&
    [ "$(number_in "$seen" overcommits)" = 0 ]
}

step_stop() {
  say "8. Host 3 shuts down gracefully while a request is in flight"
  local code=0
  http POST "$minion_port" /control '{"service_ms":1000}' >/dev/null
  via=$(entry_url 3)
  (printf 'slow' | team request quote >"$work/slow.answer" 2>&1) &
  local request=$!
  sleep 0.3
  local since
  since=$(now_ms)
  stop entry3 || code=$?
  note "the entry daemon exited with code $code after $(($(now_ms) - since)) ms"
  expect "the entry daemon exits with 0" test "$code" -eq 0
  wait "$request" || true
  note "$(cat "$work/slow.answer")"
  expect "the in-flight request received its response" contains "$(cat "$work/slow.answer")" '"echo":"slow"'
  http POST "$minion_port" /control '{"service_ms":5}' >/dev/null
  code=0
  stop sched3 || code=$?
  expect "the scheduler exits with 0" test "$code" -eq 0
  via=$(entry_url 1)
  expect "host 1 still serves quotes" until_true 20 is_quote_answered
  expect "host 1 still accepts jobs" team status --wait "$(team submit grind --expected-run 100ms)"
  via=""
}

main() {
  prepare
  local since
  since=$(now_ms)
  say "Starting the stand-ins of the platform and three entry hosts on loopback"
  start_cell 3
  note "entry hosts: $all_entries"
  write_configuration
  step_publish
  step_quote
  step_job
  step_wear_report
  step_withdraw
  step_kill
  step_stop
  stop_all
  say "Done in $((($(now_ms) - since) / 1000)) s"
  if [ "$failed_steps" -gt 0 ]; then
    note "$failed_steps checks failed; logs are in $work"
    exit 1
  fi
  rm -r "$work"
  note "all checks passed"
}

if [ "${BASH_SOURCE[0]}" = "$0" ]; then
  main "$@"
fi
