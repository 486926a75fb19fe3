#!/bin/sh
# Takes mechanisms out one at a time, in a scratch copy, and holds that the test
# named for each then fails: a test that cannot fail would show nothing.
set -u
here=$(pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r "$here/." "$scratch"
cd "$scratch" || exit 1
survived=0
trim() { printf '%s' "$1" | sed 's/^ *//; s/ *$//'; }
grep -v '^#' tools/mutants.txt | sed 's/ | /\t/g' > lines.tsv
while IFS="$(printf '\t')" read -r file change what; do
	file=$(trim "$file")
	package=$(trim "$what" | cut -d' ' -f1)
	test=$(trim "$what" | cut -d' ' -f2)
	more=$(trim "$what" | cut -s -d' ' -f3)
	cp "$file" original
	sed -i "$(trim "$change")" "$file"
	if cmp -s original "$file"; then
		echo "UNCHANGED $file: $change"
		survived=$((survived + 1))
	elif ! ${GO:-go} build ./... 2>/dev/null; then
		echo "UNBUILDABLE $file: $change"
		survived=$((survived + 1))
	elif timeout 100 ${GO:-go} test -timeout 90s -run "$test" "$package" $more >/dev/null 2>&1; then
		echo "SURVIVED $file: $change ($test)"
		survived=$((survived + 1))
	else
		echo "caught $file: $change ($test)"
	fi
	cp original "$file"
done < lines.tsv
[ "$survived" = 0 ]
