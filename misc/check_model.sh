#!/usr/bin/env bash
# Checks every specification in models/ with spin, and its variants (lines "variants:", definitions joined by commas). Then
# each of its mutants (line "mutants:"), in which spin must find a violated assertion. Prints the number of states of each run.
set -euo pipefail
cd "$(dirname "$0")/.."
for tool in spin gcc; do
    command -v "$tool" >/dev/null || { echo "check_model.sh: $tool is missing; misc/install.sh installs it" >&2; exit 2; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
depth=200000
# Each verifier takes up to 0.8 GB.
jobs=${MODEL_JOBS:-3}

# verify MODEL [DEFINITION[,DEFINITION]]: runs the verifier; its output goes to a file of that name.
verify() {
    local model=$PWD/models/$1.pml dir=$work/$1-${2:-correct}
    mkdir "$dir"
    (cd "$dir" && spin ${2:+-D${2//,/ -D}} -a "$model" && gcc -w -O2 -DSAFETY -DNOFAIR -o pan pan.c && ./pan -E -m$depth) >"$dir.out" 2>&1
}

# listed KIND FILE: the definitions on the line KIND of a model.
listed() { sed -n "s/^ \* $1: //p" "$2"; }

states() { grep -o '[0-9]* states, stored' "$1" | cut -d' ' -f1; }

# A search that was cut short proves nothing.
is_complete() { grep -q 'errors: 0' "$1" && ! grep -q 'max search depth too small\|out of memory\|Search not completed' "$1"; }

# report OUTPUT GOOD BAD COMMAND...: prints GOOD if the command succeeds, else BAD and the end of the output.
report() {
    local output=$1 good=$2 bad=$3
    shift 3
    if "$@" "$output"; then
        echo "$good: $(states "$output") states"
        return
    fi
    echo "$bad"
    tail -n 30 "$output"
    failed=1
}

for file in models/*.pml; do
    name=$(basename "$file" .pml)
    for definition in "" $(listed variants "$file") $(listed mutants "$file"); do
        while [ "$(jobs -pr | wc -l)" -ge "$jobs" ]; do
            wait -n || true
        done
        verify "$name" $definition &
    done
done
wait

failed=0
models=0
mutants=0
for file in models/*.pml; do
    name=$(basename "$file" .pml)
    models=$((models + 1))
    for variant in "" $(listed variants "$file"); do
        title="model $name${variant:+ with $variant}"
        report "$work/$name-${variant:-correct}.out" "$title passed" "$title FAILED" is_complete
    done
    for mutant in $(listed mutants "$file"); do
        mutants=$((mutants + 1))
        report "$work/$name-$mutant.out" "mutant $name/$mutant caught" "mutant $name/$mutant NOT CAUGHT" grep -q 'assertion violated'
    done
done
echo "$models models, $mutants mutants"
exit $failed
