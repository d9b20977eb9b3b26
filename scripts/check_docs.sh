#!/usr/bin/env bash
# Compares docs/EVENTS.md, SETTINGS.md, COUNTERS.md, ALERTS.md and GLOSSARY.md
# with the sources and fails if an entry exists on one side only. The first argument
# is the source tree to check (default: the tree that contains this script).
#
# The single-quoted patterns below contain backticks, which mark names on the pages.
# shellcheck disable=SC2016
set -euo pipefail
export LC_ALL=C
cd "${1:-$(dirname "$0")/..}"

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
flat=$work/flat

# Reports a fault. Faults are collected in a file, because many of the loops below
# run in subshells, where a variable would be lost.
fault() {
  echo "check_docs: $*" | tee -a "$work/faults" >&2
}

# Prints one line for each source file: path, tab, text without comments and line
# breaks, so that patterns match however clang-format has wrapped the lines.
flatten() {
  local file
  while read -r file; do
    printf '%s\t' "$file"
    sed -E 's@^[[:space:]]*//.*@@; s@  //.*@@' "$file" | tr -s '\n\t ' ' ' |
      sed -E 's/" "//g; s/([({]) /\1/g; s/ ([)}])/\1/g; s/ ([.]|->)([A-Za-z])/\1\2/g'
    echo
  done < <(grep -rl '' apps libs platform --include='*.cc' --include='*.h' \
    --exclude='*.capnp.*' --exclude-dir=tests --exclude-dir=benchmarks | sort)
}

# Prints the calls that match the regular expression $1, which ends with the opening
# parenthesis, as tab-separated columns: path, match and each argument.
calls() {
  awk -F '\t' -v start="$1" '{
    text = $2
    while (match(text, start)) {
      out = $1 "\t" substr(text, RSTART, RLENGTH) "\t"
      text = substr(text, RSTART + RLENGTH)
      depth = 1
      quoted = 0
      for (i = 1; i <= length(text); i++) {
        c = substr(text, i, 1)
        if (quoted) {
          if (c == "\\") { out = out c; i++; c = substr(text, i, 1) }
          else if (c == "\"") quoted = 0
        } else if (c == "\"") quoted = 1
        else if (c == "(" || c == "{") depth++
        else if (c == ")" || c == "}") { if (--depth == 0) break }
        else if (c == "," && depth == 1) {
          out = out "\t"
          if (substr(text, i + 1, 1) == " ") i++
          continue
        }
        out = out c
      }
      print out
    }
  }' "$flat"
}

# Prints the flattened text of the files whose path matches $1.
text_of() { awk -F '\t' -v path="$1" '$1 ~ path { print $2 }' "$flat"; }

# Succeeds if the flattened text of the files whose path matches $1 matches $2.
# Reads all of the input, because grep -q would exit early, and pipefail would then
# report the broken pipe of the writer as a failure.
has() { [ -n "$(text_of "$1" | { grep -oE "$2" || true; })" ]; }

# Prints the last string literal of each match of the regular expression $1 in the
# input.
literals() { { grep -oE "$1" || true; } | sed -E 's/^.*"([^"]*)"[^"]*$/\1/' | sort -u; }

# Prints the string literals returned by the function in file $1 whose signature
# contains $2.
returned() {
  awk -F '\t' -v path="$1" -v mark="$2" '$1 == path && index($2, mark) {
    text = substr($2, index($2, mark))
    text = substr(text, index(text, "{"))
    depth = 0
    for (i = 1; i <= length(text); i++) {
      c = substr(text, i, 1)
      if (c == "{") depth++
      if (c == "}" && --depth == 0) break
    }
    print substr(text, 1, i)
  }' "$flat" | literals '(return |Invalid[(])"[a-z0-9_-]+"' | sed '/^unknown$/d'
}

# Prints the table rows of file $1 between the heading that matches $2 and the next
# heading, with tab-separated cells.
rows() {
  awk -v heading="$2" '
    /^#/ { on = ($0 ~ heading) }
    on && /^\| *`|^\| *[0-9]/ {
      gsub(/^\| *| *\|$/, "")
      gsub(/ *\| */, "\t")
      print
    }' "$1"
}

backticked() { { grep -oE '`[^`]+`' || true; } | tr -d '`' | sort -u; }

# Compares two sorted lists: $1 comes from the code, $2 from the page $3. $4 says in
# messages what the entries are.
compare() {
  local line
  while read -r line; do
    fault "$3 lacks $4 '$line', which the code has"
  done < <(comm -23 "$1" "$2")
  while read -r line; do
    fault "$3 has $4 '$line', which the code lacks"
  done < <(comm -13 "$1" "$2")
}

# Reports a fault if the list $1 of $2 from the code is empty, which means that the
# patterns of this script no longer match the sources.
expect_some() {
  [ -s "$1" ] || fault "no $2 found in the code; the patterns of this script no longer match the sources"
}

check_events() {
  local page=docs/EVENTS.md log=libs/base
  text_of "^$log/include/base/log[.]h$" | { grep -oE '\bk[A-Za-z]+ = [0-9]+' || true; } |
    sed 's/ = / /' | sort >"$work/numbers"
  text_of "^$log/src/log[.]cc$" |
    { grep -oE 'EventEntry\{Event::k[A-Za-z]+, Severity::k[A-Za-z]+, "[a-z-]+"' || true; } |
    sed -E 's/.*Event::(k[A-Za-z]+), Severity::k([A-Za-z]+), "([a-z-]+)"/\1 \3 \2/' |
    sort >"$work/entries"
  expect_some "$work/numbers" "numbers of events"
  expect_some "$work/entries" "entries of events"
  compare <(cut -d ' ' -f 1 "$work/numbers") <(cut -d ' ' -f 1 "$work/entries") \
    "kEvents in $log/src/log.cc" "the event"
  # Collects the fields of each event over all call sites. A call may choose between
  # several events.
  calls '(LogEvent|AddNote)[(]' | { grep 'Event::k' || true; } | awk -F '\t' '{
    fields = ""
    rest = $0
    sub(/^[^\t]*\t[^\t]*\t[^\t]*\t/, "", rest)
    if (rest != $0) {
      while (match(rest, /[{]"[a-z0-9_-]+",/)) {
        fields = fields " " substr(rest, RSTART + 2, RLENGTH - 4)
        rest = substr(rest, RSTART + RLENGTH)
      }
    }
    while (match($3, /Event::k[A-Za-z]+/)) {
      print substr($3, RSTART + 7, RLENGTH - 7) fields
      $3 = substr($3, RSTART + RLENGTH)
    }
  }' | sort >"$work/emitted"
  expect_some "$work/emitted" "calls of LogEvent"
  join "$work/numbers" "$work/entries" | while read -r event number name severity; do
    fields=$(awk -v event="$event" '$1 == event { for (i = 2; i <= NF; i++) print $i }' \
      "$work/emitted" | sort -u | paste -sd ' ' -)
    if ! grep -qE "^$event( |$)" "$work/emitted"; then
      fields="not emitted"
    fi
    echo "$number $name ${severity,,}: $fields"
  done | sort >"$work/code"
  rows "$page" 'Events' | while IFS=$'\t' read -r number name severity fields _; do
    case $fields in
      *"not emitted"*) fields="not emitted" ;;
      *) fields=$(backticked <<<"$fields" | paste -sd ' ' -) ;;
    esac
    name=${name//\`/}
    echo "$number $name $severity: $fields"
  done | sort >"$work/page"
  compare "$work/code" "$work/page" "$page" "the event"
  cut -d ' ' -f 2 "$work/numbers" | sort >"$work/event_numbers"
  join "$work/numbers" "$work/entries" | awk '{ print $3 " (" $2 ")" }' | sort >"$work/event_names"
}

# Prints the value of an integer expression or constant of the sources.
number_of() {
  local text=${1//\'/}
  text=${text##*::}
  if [[ $text =~ ^k[A-Za-z0-9]+$ ]]; then
    text=$(cut -f 2 "$flat" | { grep -oE "constexpr [A-Za-z0-9_:]+ $text = [^;]+;" || true; } |
      sed -n 1p | sed -E "s/.* = ([^;]+);/\1/; s/'//g")
  fi
  if [[ $text =~ ^[-0-9\ \<*+]+$ ]]; then
    echo $((text))
  else
    echo "unreadable($1)"
  fi
}

time_of() {
  local number
  number=$(sed -E 's/.*\(([0-9'"'"']+)\)/\1/' <<<"$1" | tr -d "'")
  case $1 in
    std::chrono::milliseconds\(*) echo "${number}ms" ;;
    std::chrono::seconds\(*) echo "$((number * 1000))ms" ;;
    std::chrono::minutes\(*) echo "$((number * 60000))ms" ;;
    std::chrono::hours\(*) echo "$((number * 3600000))ms" ;;
    *) echo "unreadable($1)" ;;
  esac
}

# Prints the declared settings: path, flag, default, allowed values.
declared_settings() {
  calls '[.](Text|RequiredText|Integer|Time)[(]' | grep -F -f <(awk -F '\t' '$2 ~ /SettingsBuilder/ { print $1 "\t" }' "$flat") | while IFS=$'\t' read -r file method name a b c _; do
    [ -n "$a" ] || continue # A read access, not a declaration.
    [[ $name == \"*\" ]] || continue
    name=${name//\"/}
    case $method in
      *RequiredText*) echo "$file $name none text" ;;
      *Text*) a=${a//\"/} && echo "$file $name ${a:-empty} text" ;;
      *Integer*) echo "$file $name $(number_of "$a") $(number_of "$b") to $(number_of "$c")" ;;
      *Time*) echo "$file $name $(time_of "$a") time" ;;
    esac
  done
}

# Prints the settings documented below the heading that matches $1.
documented_settings() {
  rows docs/SETTINGS.md "$1" | while IFS=$'\t' read -r flag variable default values _; do
    flag=${flag//\`/}
    echo "${flag#--} ${variable//\`/} ${default//\`/} $values"
  done | sort
}

with_variable() {
  while read -r name rest; do
    variable=$(tr 'a-z-' 'A-Z_' <<<"$name")
    echo "$name SHALLOTBANK_$variable $rest"
  done | sort
}

check_settings() {
  local page=docs/SETTINGS.md common=libs/daemon/src/common_settings.cc
  # The command-line client `shallotbank` is documented on another page.
  calls 'SettingsBuilder [a-z]+[(]' | cut -f 1,3 | tr -d '"' | awk -F '\t' '$2 != "" && $2 != "shallotbank" && $1 !~ /^libs\/base\//' |
    sort >"$work/programs"
  expect_some "$work/programs" "programs with settings"
  declared_settings >"$work/declared"
  expect_some "$work/declared" "settings"
  local file program heading
  while IFS=$'\t' read -r file program; do
    awk -v file="$file" '$1 == file { $1 = ""; print substr($0, 2) }' "$work/declared" |
      with_variable >"$work/code"
    documented_settings "^## \`$program\`" >"$work/page"
    compare "$work/code" "$work/page" "$page, section $program," "the setting"
  done <"$work/programs"
  cut -f 2 "$work/programs" | sort >"$work/code"
  grep '^## `' "$page" | backticked >"$work/page"
  compare "$work/code" "$work/page" "$page" "a section for the program"
  heading=$(while IFS=$'\t' read -r file program; do
    if has "^$file$" "AddCommonSettings[(]"; then
      echo "\`$program\`"
    fi
  done <"$work/programs" | paste -sd '+' - | sed 's/+/ and /g')
  if ! grep -qxF "## Common to $heading" "$page"; then
    fault "$page has no section 'Common to $heading'"
  fi
  awk -v file="$common" '$1 == file { $1 = ""; print substr($0, 2) }' "$work/declared" |
    with_variable >"$work/code"
  expect_some "$work/code" "common settings"
  documented_settings '^## Common to' >"$work/page"
  compare "$work/code" "$work/page" "$page, common section," "the setting"
  text_of '^libs/base/src/settings[.]cc$' | { grep -oE '[{]"[a-z-]+", no_argument' || true; } |
    sed -E 's/.*"([a-z-]+)".*/--\1/' | sort >"$work/code"
  rows "$page" '^## Every program' | cut -f 1 | backticked >"$work/page"
  expect_some "$work/code" "flags of every program"
  compare "$work/code" "$work/page" "$page" "the flag"
  # Settings declared in a file that belongs to none of these sections would
  # otherwise go unchecked.
  while read -r file; do
    if [ "$file" != "$common" ] && ! has "^$file$" 'SettingsBuilder [a-z]*[(]"'; then
      fault "$file declares settings of a program that this check does not cover"
    fi
  done < <(cut -d ' ' -f 1 "$work/declared" | sort -u)
}

# Prints the reasons that are passed to the counter $1 in a variable, found where
# the code assigns them.
indirect_reasons() {
  local routing=libs/routing/src/reasons.cc
  case $1 in
    refusals_total) refusal_reasons ;;
    routing_refusals_total) returned "$routing" 'ToText(RefusalReason' ;;
    routing_retries_total) returned "$routing" 'ToText(RetryReason' ;;
    routing_not_retried_total) returned "$routing" 'ToText(NoRetryReason' ;;
    routing_ejections_total) returned "$routing" 'ToText(EjectionReason' ;;
    scheduler_blocked_total) returned libs/placement/src/why_not.cc 'ToText(PlacementRefusal' ;;
    scheduler_worker_failures_total | log_append_retries_total)
      # The verdict `ran` is not a failure.
      returned libs/base/src/verdict.cc 'ToText(Verdict' | sed '/^ran$/d'
      ;;
    scheduler_attempts_ended_total)
      calls 'LoseAttempt[(]' | cut -f 4- | { grep -oE '"[a-z0-9_-]+"' || true; } | tr -d '"' | sort -u
      ;;
    http_refused_total) http_reasons ;;
    topic_read_bytes_total | topic_reads_failed_total | digest_reads_failed_total)
      text_of '^apps/cell/topics[.]h$' | { grep -oE 'FollowedTopic k[A-Za-z]+\{[A-Za-z:]+, "[a-z]+"' || true; } |
        literals '"[a-z]+"'
      ;;
    http_connections_closed_total)
      text_of '^libs/http/src/' | literals '(Close|CloseAll|CloseLocked|FinishLocked)[(]"[a-z0-9_-]+"'
      ;;
    log_appends_refused_total)
      text_of '^libs/platform/src/log_appender[.]cc$' | literals '((refused|[.]reason) =|return) "[a-z0-9_-]+"'
      ;;
    rpc_calls_not_run_total | peer_heartbeats_failed_total | job_status_from_log_total | rpc_calls_may_have_run_total)
      { text_of '^libs/rpc/src/(link|client_core|peer_client|peer_loads)[.]cc$' |
        { grep -oE '(return|Fail[(]([*]?|entry[.])call,|Refuse[(](call->)?done,) "[a-z0-9_-]+"|[?] "[a-z0-9_-]+" : "[a-z0-9_-]+"' || true; } |
        { grep -oE '"[a-z0-9_-]+"' || true; } | tr -d '"'; } | sort -u
      ;;
    rpc_connects_failed_total)
      text_of '^libs/rpc/src/link[.]cc$' | { grep -oE 'reason = is_timeout [?] "[a-z0-9_-]+" : "[a-z0-9_-]+"' || true; } |
        { grep -oE '"[a-z0-9_-]+"' || true; } | tr -d '"' | sort -u
      ;;
    rpc_connections_lost_total)
      text_of '^libs/rpc/src/(link|client_connection)[.]cc$' |
        { grep -oE 'std::string[(]("[a-z0-9_-]+"|[a-z_]+ [?] "[a-z0-9_-]+" : "[a-z0-9_-]+")[)]' || true; } |
        { grep -oE '"[a-z0-9_-]+"' || true; } | tr -d '"' | sort -u
      ;;
    rpc_server_closed_total)
      text_of '^libs/rpc/src/server_connection[.]cc$' | literals 'std::string[(]"[a-z0-9_-]+"[)]'
      ;;
    rpc_server_refused_total)
      text_of '^libs/rpc/src/(server_connection|peer_service)[.]cc$' |
        literals '(return|reason =) "[a-z0-9_-]+"'
      ;;
    *) return 1 ;;
  esac
}

http_reasons() { text_of '^libs/http/src/' | literals '[{][0-9]{3}, "[a-z0-9_-]+"'; }

# Prints the refusal reasons that the entry daemon counts in `refusals_total`.
refusal_reasons() {
  {
    text_of '^apps/entry/' | literals '\bError[(][A-Za-z0-9]+, "[a-z0-9_-]+"'
    text_of '^apps/entry/' | literals 'Verdict::k[A-Za-z]+, "[a-z0-9_-]+"'
    text_of '^apps/entry/' | literals '[.]reason = "[a-z0-9_-]+"'
    text_of '^apps/entry/' | literals '"refusals_total", "[a-z0-9_-]+"'
    returned libs/routing/src/reasons.cc 'ToText(RefusalReason'
    returned libs/journal/src/job_table.cc 'JobTable::Apply(const JobAccepted'
  } | sort -u
}

# Prints the refusal reasons in responses to callers, whichever counter they
# appear in.
caller_reasons() {
  {
    refusal_reasons
    http_reasons
    text_of '^(apps/entry|libs/http/src)/' | { grep -oE '"reason":"[a-z0-9_-]+"' || true; } | cut -d '"' -f 4
  } | sort -u
}

# Prints the metrics that the code updates: kind, name, reason ("-" for none, "*" for
# one that is not a literal).
emitted_metrics() {
  calls '(metrics([.]|->)(Add|Set|Observe)|([.]|->)Count)[(]' | awk -F '\t' '$3 ~ /^"/' |
    awk -F '\t' '{
      name = $3
      gsub(/"/, "", name)
      kind = $2 ~ /Set/ ? "gauge" : $2 ~ /Observe/ ? "histogram" : "counter"
      reason = "-"
      if (kind == "counter" && $4 != "" && $4 != "\"\"") {
        reason = $4 ~ /^"[^"]*"$/ ? $4 : "*"
        gsub(/"/, "", reason)
      }
      print kind, name, reason
    }' | sort -u
}

# Prints the pairs of name and reason documented in docs/COUNTERS.md.
documented_reasons() {
  local name cell other
  rows docs/COUNTERS.md '^## Metrics|^### ' | cut -f 1,3 | tr -d '`' |
    while IFS=$'\t' read -r name cell; do
      case $cell in
        - | 'see Refusals') continue ;; # The table of refusals is compared separately.
        *'those of '*)
          other=${cell##*those of }
          other=${other%%,*}
          cell=${cell/"those of $other"/}
          indirect_reasons "$other" | sed "s/^/$name /"
          ;;
      esac
      tr -s ', ' '\n' <<<"$cell" | sed -n "s/^./$name &/p"
    done | sort -u
}

check_counters() {
  local page=docs/COUNTERS.md file kind name reason
  emitted_metrics >"$work/emissions"
  expect_some "$work/emissions" "metrics"
  # Metric names that are not literals at the call cannot be checked.
  while read -r file; do
    if ! has "^$file$" 'Count\(const (char\*|std::string&)'; then
      fault "$file passes a metric name in a variable; use a string literal"
    fi
  done < <(calls 'metrics([.]|->)(Add|Set|Observe)[(]' | awk -F '\t' '$3 !~ /^"/ { print $1 }' | sort -u)
  while IFS=$'\t' read -r file name; do
    fault "$file names a Metrics variable '$name'; this check recognises only 'metrics'"
  done < <(awk -F '\t' '{
    while (match($2, /[^A-Za-z_]Metrics[&*]* [a-z_]+/)) {
      name = substr($2, RSTART, RLENGTH)
      sub(/.* /, "", name)
      if (name != "metrics") print $1 "\t" name
      $2 = substr($2, RSTART + RLENGTH)
    }
  }' "$flat")
  cut -d ' ' -f 1,2 "$work/emissions" | sort -u >"$work/code"
  rows "$page" '^## Metrics|^### ' | while IFS=$'\t' read -r name kind _; do
    echo "$kind ${name//\`/}"
  done | sort >"$work/page"
  compare "$work/code" "$work/page" "$page" "the metric"
  while read -r kind name reason; do
    case "$name $reason" in
      "refusals_total "* | *" -") ;;
      *" *")
        { indirect_reasons "$name" || fault "scripts/check_docs.sh has no rule in indirect_reasons for the reasons of $name"; } |
          sed "s/^/$name /"
        ;;
      *) echo "$name $reason" ;;
    esac
  done <"$work/emissions" | sort -u >"$work/code"
  documented_reasons >"$work/page"
  compare "$work/code" "$work/page" "$page" "the reason"
}

# Prints reason, status and execution of the refusals whose call contains all three.
literal_refusals() {
  {
    text_of '^apps/entry/' | { grep -oE '\bError[(][A-Za-z0-9]+, "[a-z0-9_-]+"' || true; } |
      sed -E 's/Error[(]([A-Za-z0-9]+), "([a-z0-9_-]+)"/\2 \1 not-run/'
    text_of '^libs/http/src/' | { grep -oE '[{][0-9]{3}, "[a-z0-9_-]+"' || true; } |
      sed -E 's/[{]([0-9]+), "([a-z0-9_-]+)"/\2 \1 not-run/'
    calls '[^a-z:]Refuse[(]' | awk -F '\t' '$1 ~ /^apps\/entry\// && $6 ~ /^[{]Verdict::k[A-Za-z]+, "[a-z0-9_-]+"/ {
      split($6, part, /[{,"]+/)
      verdict = part[2]
      sub(/.*::k/, "", verdict)
      reason = part[3] == " " ? part[4] : part[3]
      print reason, $5, verdict
    }'
  } | sed -E 's/ NotRun$/ not-run/; s/ MayHaveRun$/ may-have-run/; s/ Ran$/ ran/' |
    while read -r reason status execution; do
      echo "$reason $(number_of "$status") $execution"
    done | sort -u
}

check_refusals() {
  local page=docs/COUNTERS.md cells file
  caller_reasons >"$work/code"
  expect_some "$work/code" "reasons of refusals"
  rows "$page" '^## Refusals' | cut -f 1 | backticked >"$work/page"
  compare "$work/code" "$work/page" "$page, section Refusals," "the reason"
  literal_refusals >"$work/literal"
  expect_some "$work/literal" "refusals with a status"
  # Prints one line for each combination of reason, status and execution.
  rows "$page" "^## Refusals" | awk -F "\t" '{
    gsub(/`/, "")
    statuses = split($2, status, /, */)
    executions = split($3, execution, /, */)
    for (i = 1; i <= statuses; i++)
      for (j = 1; j <= executions; j++) print $1, status[i], execution[j]
  }' | sort -u >"$work/combinations"
  # Only reasons whose status was found in the code can be compared.
  awk 'NR == FNR { known[$1]; next } $1 in known' "$work/literal" "$work/combinations" >"$work/page"
  compare "$work/literal" "$work/page" "$page" "for a refusal the reason, status and execution"
  # Refusals whose reason does not come from a place that is searched above.
  while IFS=$'\t' read -r file cells; do
    fault "$file refuses with a reason that this check cannot determine: $cells"
  done < <(calls '[^a-z:]Refuse[(]' | awk -F '\t' -v known='Verdict::k[A-Za-z]+, "[a-z0-9_-]+"|[.]reason = "|error[.]refusal|refuse[.]refusal|\trefusal$|LogRefusal[(]|outcomes.0.[.]reason' \
    '$1 ~ /^apps\/entry\// && NF >= 5 && $3 !~ /^const/ && $0 !~ known { print $1 "\t" $6 }')
}

# Checks the names of metrics, events and files that the pages mention anywhere.
check_references() {
  local page reference
  cut -d ' ' -f 2 "$work/emissions" | sort -u >"$work/names"
  for page in docs/EVENTS.md docs/SETTINGS.md docs/COUNTERS.md docs/ALERTS.md docs/GLOSSARY.md; do
    while read -r reference; do
      fault "$page mentions the metric '$reference', which the code lacks"
    done < <(backticked <"$page" | sed -E 's/[{].*//' | { grep -E '^[a-z_]+_(total|seconds)$' || true; } |
      sort -u | comm -23 - "$work/names")
    while read -r reference; do
      fault "$page mentions the event '$reference', which the code lacks"
    done < <({ grep -oE '`[a-z-]+` \([0-9]{4}\)' "$page" || true; } | tr -d '`' | sort -u |
      comm -23 - "$work/event_names")
    while read -r reference; do
      [ -e "$reference" ] || fault "$page mentions the file '$reference', which does not exist"
    done < <(backticked <"$page" | { grep -E '^(apps|libs|docs|scripts)/[A-Za-z0-9_./]+$' || true; })
  done
}

flatten >"$flat"
check_events
check_settings
check_counters
check_refusals
check_references
if [ -s "$work/faults" ]; then
  echo "check_docs: $(wc -l <"$work/faults") differences between the pages and the code" >&2
  exit 1
fi
echo "check_docs: the pages agree with the code"
