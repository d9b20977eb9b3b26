#!/usr/bin/env bash
# Runs the commands that docs/OPERATIONS.md shows against a cell with stand-ins and
# prints them with their output. With --update, also replaces the text blocks of
# the page by this output.
set -euo pipefail
# shellcheck source=scripts/demo.sh
source "$(dirname "${BASH_SOURCE[0]}")/demo.sh"

max_block_lines=20
max_line_length=150

# begin_block NAME: starts the text block NAME, which receives the commands
# recorded from here on.
begin_block() {
  block_file=$work/blocks/$1.txt
  : >"$block_file"
  printf '\n-- %s\n' "$1"
}

# run_as ROLE ARGUMENTS...: runs the client as `operator` or `team` and records
# the command, its output and its exit code.
run_as() {
  local role=$1 code=0
  shift
  "$role" "$@" >"$work/output" 2>&1 || code=$?
  record "shallotbank $*" "$code"
}

truncate_lines() { sed -E "s/^(.{$max_line_length}).+\$/\1 [shortened]/"; }

# record COMMAND CODE: appends a command, the output stored in $work/output and a
# non-zero exit code to the current block.
record() {
  local lines
  lines=$(wc -l <"$work/output")
  {
    printf '$ %s\n' "${1//$work\//}"
    if [ "$lines" -gt "$max_block_lines" ]; then
      head -n $((max_block_lines - 2)) "$work/output" | truncate_lines
      printf '[shortened: %d more lines]\n' $((lines - max_block_lines + 2))
    else
      truncate_lines <"$work/output"
    fi
    [ "$2" -eq 0 ] || printf '[exit code %d]\n' "$2"
  } | tee -a "$block_file"
}

# record_metrics KIND NUMBER PATTERN: records the metrics of one daemon that match.
record_metrics() {
  http GET "${http_ports[$1$2]}" /metrics | grep -E "$3" >"$work/output" || true
  record "curl -s http://host$2-$1/metrics | grep -E '$3'" 0
}

# record_events NAME PATTERN: records the last two matching lines of a daemon's log.
record_events() {
  grep -hE "$2" "$work/$1.log" | tail -n 2 >"$work/output" || true
  record "grep -E '$2' $1.log | tail -n 2" 0
}

operator_with_new_key() {
  SHALLOTBANK_NEW_KEY=$new_key operator "$@"
}

restart_host() {
  local kind code=0
  for kind in entry sched; do
    stop "$kind$1" || code=$?
    printf 'shallotbank-%s on host%d ended with exit code %d\n' "$kind" "$1" "$code"
    start_daemon "$kind" "$1"
  done
  via=$(entry_url "$1") until_true 20 operator show
}

show_install() {
  begin_block settings
  local code=0
  "$bin/shallotbank-entry" --host host1 --domain caxias --http 127.0.0.1:8080 --rpc 127.0.0.1:8081 \
    --log-url http://127.0.0.1:7001/streams/shallotbank/records --hosts-url http://127.0.0.1:7002/hosts \
    --peers 127.0.0.1:8083,127.0.0.1:9081 --operator-key-sha256 "$(hash_of example)" \
    --print-settings >"$work/output" 2>&1 || code=$?
  record "shallotbank-entry ... --print-settings" "$code"
  begin_block first-publish
  run_as operator publish --dry-run "$work/cell.json"
  run_as operator publish --wait --json "$work/cell.json"
  until_true 20 has_shard_owner
  begin_block hosts
  until_true 20 is_quote_answered
  run_as operator hosts
  begin_block show
  run_as operator show
}

show_work() {
  begin_block work
  job=$(team submit grind --tasks 40 --expected-run 3s)
  sleep 1
  run_as team status "$job"
  run_as team why "$job"
  run_as team list
  begin_block use
  run_as operator shares
  run_as operator workers
  run_as operator minions
  begin_block cancel
  run_as team cancel "$job"
  run_as team status --wait "$job"
  run_as team status no-such-job
  begin_block bad-input
  run_as team submit grind --tasks 1000
  run_as team submit no-such-profile
  run_as team request quote --deadline 3
}

show_upgrade() {
  begin_block upgrade
  {
    restart_host 1
    operator hosts | grep -E '^HOST|^host1 '
  } >"$work/output" 2>&1
  record "systemctl restart shallotbank-entry shallotbank-sched; shallotbank hosts | grep -E '^HOST|^host1 '" 0
  local number
  for number in 2 3 4 5 6; do
    restart_host "$number" >/dev/null
  done
  until_true 20 has_shard_owner
  until_true 30 is_quote_answered
}

show_log_outage() {
  http POST "$log_port" /control '{"down":true}' >/dev/null
  sleep 3
  begin_block log-outage
  via=$(entry_url 1)
  run_as team submit grind --expected-run 100ms --idempotency-key nightly-7
  run_as team submit grind --expected-run 100ms --idempotency-key nightly-8
  printf 'size 41' >"$work/body"
  run_as team request quote "$work/body"
  run_as team request wear-report --request-id report-8 "$work/body"
  via=""
  begin_block log-outage-hosts
  run_as operator hosts
  record_metrics entry 1 '^log_|^refusals_total'
  record_events entry1 'event=200[12]'
  http POST "$log_port" /control '{"down":false}' >/dev/null
  begin_block log-back
  until_true 20 team submit grind --expected-run 100ms --idempotency-key warm-up
  run_as team submit grind --expected-run 100ms --idempotency-key nightly-7
  record_events entry1 'event=200[12]'
}

show_key_leak() {
  new_key=$(random_secret)
  begin_block key-leak
  run_as operator_with_new_key grant --wait gaucho-workshop gaucho-2027
  run_as operator withdraw --wait gaucho-2026
  team_name=gaucho-workshop
  team_key=$gaucho_key
  run_as team list
  team_key=$new_key
  run_as team list
  team_name=serra-workshop
  team_key=$serra_key
  begin_block old-file
  run_as operator publish "$work/cell.json"
  run_as operator publish --keys keep "$work/cell.json"
}

show_drain() {
  begin_block drain
  local name
  for name in w3 w4 m3 m4; do
    http POST "$list_port" /state "{\"name\":\"$name\",\"state\":\"leaving\"}" >/dev/null
  done
  sleep 3
  run_as operator workers
  stop entry2 || true
  stop sched2 || true
  until_true 20 has_shard_owner
  sleep 2
  run_as operator hosts
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
  begin_block add-host
  run_as operator hosts
}

show_counters() {
  begin_block counters
  record_metrics entry 1 '^[a-z_]+_total'
}

# Replaces the content of each ```text block that follows a line
# `<!-- transcript NAME -->` by block NAME of this run.
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
