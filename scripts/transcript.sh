#!/usr/bin/env bash
# Runs the commands that docs/OPERATIONS.md shows against the stand-ins and
# prints them with their output. With --update, writes them into the page.
set -euo pipefail
# shellcheck source=scripts/demo.sh
source "$(dirname "${BASH_SOURCE[0]}")/demo.sh"

longest_block=20
longest_line=150

# block NAME: the following output of `type` belongs to block NAME.
block() {
  current=$work/blocks/$1.txt
  : >"$current"
  printf '\n-- %s\n' "$1"
}

# type_as ROLE ARGUMENTS...: runs the client and records command, output and
# exit code.
type_as() {
  local role=$1 code=0
  shift
  "$role" "$@" >"$work/output" 2>&1 || code=$?
  record "shallotbank $*" "$code"
}

cut_lines() { sed -E "s/^(.{$longest_line}).+\$/\1 [shortened]/"; }

# record COMMAND CODE: adds a command and what is in $work/output.
record() {
  local lines
  lines=$(wc -l <"$work/output")
  {
    printf '$ %s\n' "${1//$work\//}"
    if [ "$lines" -gt "$longest_block" ]; then
      head -n $((longest_block - 2)) "$work/output" | cut_lines
      printf '[shortened: %d more lines]\n' $((lines - longest_block + 2))
    else
      cut_lines <"$work/output"
    fi
    [ "$2" -eq 0 ] || printf '[exit code %d]\n' "$2"
  } | tee -a "$current"
}

# metrics KIND NUMBER PATTERN: lines of the counters of one daemon.
metrics() {
  http GET "${http_ports[$1$2]}" /metrics | grep -E "$3" >"$work/output" || true
  record "curl -s http://host$2-$1/metrics | grep -E '$3'" 0
}

# events NAME PATTERN: lines of a daemon's log, without their time.
events() {
  grep -hE "$2" "$work/$1.log" | tail -n 2 >"$work/output" || true
  record "grep -E '$2' $1.log | tail -n 2" 0
}

operator_with_new_key() {
  SHALLOTBANK_NEW_KEY=$new_key operator "$@"
}

restart() {
  local kind code=0
  for kind in entry sched; do
    stop "$kind$1" || code=$?
    printf 'shallotbank-%s on host%d ended with exit code %d\n' "$kind" "$1" "$code"
    start_daemon "$kind" "$1"
  done
  via=$(entry_url "$1") until_true 20 operator show
}

show_install() {
  block settings
  local code=0
  "$bin/shallotbank-entry" --host host1 --domain caxias --http 127.0.0.1:8080 --rpc 127.0.0.1:8081 \
    --log-url http://127.0.0.1:7001/streams/shallotbank/records --hosts-url http://127.0.0.1:7002/hosts \
    --peers 127.0.0.1:8083,127.0.0.1:9081 --operator-key-sha256 "$(hash_of example)" \
    --print-settings >"$work/output" 2>&1 || code=$?
  record "shallotbank-entry ... --print-settings" "$code"
  block first-publish
  type_as operator publish --dry-run "$work/cell.json"
  type_as operator publish --wait --json "$work/cell.json"
  until_true 20 has_shard_owner
  block hosts
  until_true 20 is_quote_answered
  type_as operator hosts
  block show
  type_as operator show
}

show_work() {
  block work
  job=$(team submit grind --tasks 40 --expected-run 3s)
  sleep 1
  type_as team status "$job"
  type_as team why "$job"
  type_as team list
  block use
  type_as operator shares
  type_as operator workers
  type_as operator minions
  block cancel
  type_as team cancel "$job"
  type_as team status --wait "$job"
  type_as team status no-such-job
  block bad-input
  type_as team submit grind --tasks 1000
  type_as team submit no-such-profile
  type_as team request quote --deadline 3
}

show_upgrade() {
  block upgrade
  {
    restart 1
    operator hosts | grep -E '^HOST|^host1 '
  } >"$work/output" 2>&1
  record "systemctl restart shallotbank-entry shallotbank-sched; shallotbank hosts | grep -E '^HOST|^host1 '" 0
  local number
  for number in 2 3 4 5 6; do
    restart "$number" >/dev/null
  done
  until_true 20 has_shard_owner
  until_true 30 is_quote_answered
}

show_log_outage() {
  http POST "$log_port" /control '{"down":true}' >/dev/null
  sleep 3
  block log-outage
  via=$(entry_url 1)
  type_as team submit grind --expected-run 100ms --idempotency-key nightly-7
  type_as team submit grind --expected-run 100ms --idempotency-key nightly-8
  printf 'size 41' >"$work/body"
  type_as team request quote "$work/body"
  type_as team request wear-report --request-id report-8 "$work/body"
  via=""
  block log-outage-hosts
  type_as operator hosts
  metrics entry 1 '^log_|^refusals_total'
  events entry1 'event=200[12]'
  http POST "$log_port" /control '{"down":false}' >/dev/null
  block log-back
  until_true 20 team submit grind --expected-run 100ms --idempotency-key warm-up
  type_as team submit grind --expected-run 100ms --idempotency-key nightly-7
  events entry1 'event=200[12]'
}

show_key_leak() {
  new_key=$(random_secret)
  block key-leak
  type_as operator_with_new_key grant --wait gaucho-workshop gaucho-2027
  type_as operator withdraw --wait gaucho-2026
  team_name=gaucho-workshop
  team_key=$gaucho_key
  type_as team list
  team_key=$new_key
  type_as team list
  team_name=serra-workshop
  team_key=$serra_key
  block old-file
  type_as operator publish "$work/cell.json"
  type_as operator publish --keys keep "$work/cell.json"
}

show_drain() {
  block drain
  local name
  for name in w3 w4 m3 m4; do
    http POST "$list_port" /state "{\"name\":\"$name\",\"state\":\"leaving\"}" >/dev/null
  done
  sleep 3
  type_as operator workers
  stop entry2 || true
  stop sched2 || true
  until_true 20 has_shard_owner
  sleep 2
  type_as operator hosts
}

show_add_host() {
  local kind
  for kind in entry sched; do
    take_port && http_ports[${kind}7]=$port
    take_port && rpc_ports[${kind}7]=$port
    peers+=",127.0.0.1:$port"
  done
  for kind in sched entry; do
    start_daemon "$kind" 7
  done
  via=$(entry_url 7) until_true 20 operator show
  sleep 1
  block add-host
  type_as operator hosts
}

show_counters() {
  block counters
  metrics entry 1 '^[a-z_]+_total'
}

# Replaces the text of each ```text block that follows a line
# `<!-- transcript NAME -->` by that of the run.
update_page() {
  awk -v folder="$work/blocks" '
    /^<!-- transcript / { name = $3 }
    /^```text$/ && name != "" {
      print
      while ((getline line < (folder "/" name ".txt")) > 0) print line
      skipping = 1
      next
    }
    /^```$/ && skipping { skipping = 0; name = "" }
    !skipping { print }
  ' docs/OPERATIONS.md >"$work/page"
  cp "$work/page" docs/OPERATIONS.md
}

transcript() {
  prepare
  mkdir "$work/blocks"
  start_cell 6
  write_configuration
  show_install
  show_work
  show_upgrade
  show_log_outage
  show_key_leak
  show_drain
  show_add_host
  show_counters
  if [ "${1:-}" = --update ]; then
    update_page
  fi
  stop_all
  rm -r "$work"
}

transcript "$@"
