#!/usr/bin/env bash
# Checks every specification in models/ with spin, and its variants (line "variants:", definitions joined by commas). In each
# of its mutants (line "mutants:") spin must find a violated assertion. Prints the number of states of each run.
set -euo pipefail
cd "$(dirname "$0")/.."
for tool in spin gcc; do
    command -v "$tool" >/dev/null || { echo "check_model.sh: $tool is missing; misc/install.sh installs it" >&2; exit 2; }
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
depth=200000
# Number of verifiers that run at the same time. Each one uses up to 0.8 GB of memory.
jobs=${MODEL_JOBS:-3}

# verify MODEL [DEFINITION[,DEFINITION]]: runs the verifier and writes its output to $work/MODEL-DEFINITION.out.
verify() {
    local model=$PWD/models/$1.pml dir=$work/$1-${2:-correct}
    mkdir "$dir"
    (cd "$dir" && spin ${2:+-D${2//,/ -D}} -a "$model" && gcc -w -O2 -DSAFETY -DNOFAIR -o pan pan.c && ./pan -E -m$depth) >"$dir.out" 2>&1
}

# list_definitions KIND FILE: prints the definitions on the line KIND (variants or mutants) of a model.
list_definitions() { sed -n "s/^ \* $1: //p" "$2"; }

# count_states OUTPUT: prints the number of states that the verifier stored.
count_states() { grep -o '[0-9]* states, stored' "$1" | cut -d' ' -f1; }

# is_complete OUTPUT: succeeds when the verifier found no error and searched every state. An incomplete search proves nothing.
is_complete() { grep -q 'errors: 0' "$1" && ! grep -q 'max search depth too small\|out of memory\|Search not completed' "$1"; }

# report OUTPUT PASS_TEXT FAIL_TEXT COMMAND...: runs the command on the output. Prints PASS_TEXT if it succeeds, else FAIL_TEXT
# and the end of the output.
report() {
    local output=$1 pass_text=$2 fail_text=$3
    shift 3
    if "$@" "$output"; then
        echo "$pass_text: $(count_states "$output") states"
        return
    fi
    echo "$fail_text"
    tail -n 30 "$output"
    failed=1
}

for file in models/*.pml; do
    name=$(basename "$file" .pml)
    for definition in "" $(list_definitions variants "$file") $(list_definitions mutants "$file"); do
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
    for variant in "" $(list_definitions variants "$file"); do
        title="model $name${variant:+ with $variant}"
        report "$work/$name-${variant:-correct}.out" "$title passed" "$title FAILED" is_complete
    done
    for mutant in $(list_definitions mutants "$file"); do
        mutants=$((mutants + 1))
        report "$work/$name-$mutant.out" "mutant $name/$mutant caught" "mutant $name/$mutant NOT CAUGHT" grep -q 'assertion violated'
    done
done
echo "$models models, $mutants mutants"
exit $failed
