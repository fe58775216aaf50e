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

# verify MODEL [DEFINITION[,DEFINITION]]: runs the verifier; prints its output.
verify() {
    local model=$PWD/models/$1.pml dir
    dir=$work/$1-${2:-correct}
    mkdir "$dir"
    (cd "$dir" && spin ${2:+-D${2//,/ -D}} -a "$model" >spin.out && gcc -w -O2 -DSAFETY -DNOFAIR -o pan pan.c && ./pan -E -m$depth) 2>&1
}

states() { grep -o '[0-9]* states, stored' | cut -d' ' -f1; }

failed=0
models=0
mutants=0
for file in models/*.pml; do
    name=$(basename "$file" .pml)
    models=$((models + 1))
    for variant in "" $(sed -n 's/^ \* variants: //p' "$file"); do
        output=$(verify "$name" $variant) || true
        # A search that was cut short proves nothing.
        if grep -q 'errors: 0' <<<"$output" && ! grep -q 'max search depth too small\|out of memory\|Search not completed' <<<"$output"; then
            echo "model $name${variant:+ with $variant} passed: $(states <<<"$output") states"
        else
            echo "model $name${variant:+ with $variant} FAILED"
            echo "$output" | tail -n 30
            failed=1
        fi
    done
    for mutant in $(sed -n 's/^ \* mutants: //p' "$file"); do
        mutants=$((mutants + 1))
        output=$(verify "$name" "$mutant") || true
        if grep -q 'assertion violated' <<<"$output"; then
            echo "mutant $name/$mutant caught: $(states <<<"$output") states"
        else
            echo "mutant $name/$mutant NOT CAUGHT"
            echo "$output" | tail -n 30
            failed=1
        fi
    done
done
echo "$models models, $mutants mutants"
exit $failed
