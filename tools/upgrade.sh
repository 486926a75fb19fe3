#!/bin/sh
# Runs two builds beside each other: upgrade.sh OLD NEW, two folders with the
# programs of one build each. First two entry VMs, one of each build, take over a
# cell from each other and serve orders; then the fault soak restarts marjoram
# serve with the two builds in turn.
set -eu
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
seeds=${SEEDS:-3}
first=${SEED:-1}
scratch=$(mktemp -d)
pids=""
trap 'for p in $pids; do kill "$p" 2>/dev/null || true; done; wait; [ -n "${KEEP:-}" ] || rm -rf "$scratch"' EXIT

fail() {
	echo "FAILED: $1"
	exit 1
}

# await COMMAND...: until the command succeeds, 40 s at most.
await() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ "$tries" -lt 400 ] || fail "not seen within 40 s: $*"
		sleep 0.1
	done
}

# entry N BUILD: starts entry VM N with the programs of BUILD.
entry() {
	"$2/marjoram" entry --vm "entry-$1" --zone press --platform 127.0.0.1:17000 \
		--caller-address "127.0.0.1:1701$1" --operator-address "127.0.0.1:1702$1" \
		--peer-address "127.0.0.1:1703$1" --peers "127.0.0.1:17031,127.0.0.1:17032" \
		>>"$scratch/entry-$1.log" 2>&1 &
	eval "entry$1=$!"
	pids="$pids $!"
	await ready "$1"
}

ready() { curl -sf "http://127.0.0.1:1702$1/readyz"; }
alive() { curl -sf "http://127.0.0.1:1702$1/healthz"; }

stop() {
	eval "pid=\$entry$1"
	kill "$pid"
	wait "$pid" || fail "entry-$1 ended with $?"
}

# owns N: entry VM N owns the cell and its 4 tasks run there.
owns() {
	load=$("$new/marjoram" status --output json --entry "127.0.0.1:1702$1" | tr -d ' \n')
	case "$load" in *'"owner":"entry-'"$1"*) ;; *) return 1 ;; esac
	case "$load" in *'"running":4'*) ;; *) return 1 ;; esac
}

# order N KEY: sends an order through entry VM N; its outcome is printed.
order() {
	curl -s -o /dev/null -D - -X POST -H 'Marjoram-Class: quote' -H "Idempotency-Key: $2" \
		-d one "http://127.0.0.1:1701$1/order" | tr -d '\r' | sed -n 's/^Marjoram-Outcome: //p'
}

# ran N KEY: the order runs; a refusal (not-run) is sent again, any other outcome fails.
ran() {
	tries=0
	while outcome=$(order "$1" "$2") && [ "$outcome" = not-run ] && [ $tries -lt 100 ]; do
		tries=$((tries + 1))
		sleep 0.1
	done
	[ "$outcome" = ran ] || fail "order $2 through entry-$1: $outcome after $tries refusals"
	[ $tries = 0 ] || echo "order $2 through entry-$1: refused $tries times, then run"
}
settled() { "$2/marjoram" order --output json --entry "127.0.0.1:1702$1" "$3" | tr -d ' \n' | grep -q '"ran"'; }
finished() { "$new/marjoram" job show --output json --entry "127.0.0.1:1702$1" long | grep -q '"finished"'; }

# take_over FIRST SECOND: entry VMs of the build FIRST and of SECOND stop in turn.
take_over() {
	rm -f "$scratch"/entry-*.log
	"$new/marjoram-standin" platform --address 127.0.0.1:17000 --fleet "$scratch/fleet.json" &
	standins=$!
	"$new/marjoram-standin" worker --address 127.0.0.1:17001 --id worker-1 --processors 8 --memory-mb 8000 &
	standins="$standins $!"
	"$new/marjoram-standin" endpoint --address 127.0.0.1:17002 --id endpoint-1 --service-ms 5 &
	standins="$standins $!"
	pids="$pids $standins"
	await curl -s http://127.0.0.1:17000/
	"$1/marjoram" entry --vm entry-1 --zone press --platform 127.0.0.1:17000 \
		--caller-address 127.0.0.1:17011 --operator-address 127.0.0.1:17021 --peer-address 127.0.0.1:17031 \
		--peers 127.0.0.1:17032 >>"$scratch/entry-1.log" 2>&1 &
	entry1=$!
	pids="$pids $entry1"
	await alive 1
	"$1/marjoram" class apply --entry 127.0.0.1:17021 "$scratch/classes.yaml"
	await ready 1
	await "$1/marjoram" job submit --entry 127.0.0.1:17021 --id long --class run --team team --tasks 4 \
		--processors 1 --memory-mb 100 --run-time 45s
	await owns 1
	ran 1 before
	entry 2 "$2"
	ran 2 first-both
	stop 1
	await owns 2
	ran 2 second-alone
	settled 2 "$2" before || fail "entry-2 does not read the order of entry-1"
	[ "$(order 2 before)" = ran ] || fail "the key of entry-1 is not known to entry-2"
	entry 1 "$1"
	ran 1 first-again
	stop 2
	await owns 1
	ran 1 first-alone
	settled 1 "$1" second-alone || fail "entry-1 does not read the order of entry-2"
	entry 2 "$2"
	ran 2 second-again
	await finished 2
	await finished 1
	curl -s http://127.0.0.1:17002/record >"$scratch/record"
	stop 1
	stop 2
	for p in $standins; do
		kill "$p"
		wait "$p" || true
	done
	grep -h 'level=ERROR' "$scratch"/entry-*.log && fail "errors in the logs"
	echo "ok: take-over both ways, 6 orders, 1 job; the endpoint's record: $(tr -d ' \n' <"$scratch/record")"
}

cat >"$scratch/fleet.json" <<'JSON'
{"vms": [
  {"id": "worker-1", "kind": "worker", "zone": "press", "rack": "r1", "address": "127.0.0.1:17001", "processors": 8, "memory-mb": 8000},
  {"id": "endpoint-1", "kind": "endpoint", "zone": "press", "address": "127.0.0.1:17002", "slots": 8, "connections": 64}
]}
JSON
cat >"$scratch/classes.yaml" <<'YAML'
schema: marjoram/v1
service: desk
zones: [press]
teams:
  - name: team
    quota: {processors: 64, memory-mb: 64000}
classes:
  - name: quote
    kind: interactive
    answer-by: 1s
  - name: run
    kind: batch
    finish-by: 10m
YAML

# The program that the soak starts: the builds in turn, VMs of odd numbers begin with the old one.
cat >"$scratch/in-turn" <<SH
#!/bin/sh
count=\$(cat "$scratch/\$3" 2>/dev/null || echo "\$3" | tr -cd 0-9)
echo \$((count + 1)) >"$scratch/\$3"
if [ \$((count % 2)) = 1 ]; then build=$old; else build=$new; fi
echo "\$3 \$build" >>"$scratch/starts"
exec "\$build/marjoram" "\$@"
SH
chmod +x "$scratch/in-turn"

echo "== the old build first"
take_over "$old" "$new"
echo "== the new build first"
take_over "$new" "$old"
echo "== soak with the builds in turn"
"$new/marjoram-load" soak --program "$scratch/in-turn" --seed "$first" --seeds "$seeds" --vms 3 --customers 0
echo "starts of the old build: $(grep -c " $old\$" "$scratch/starts"), of the new one: $(grep -c " $new\$" "$scratch/starts")"
