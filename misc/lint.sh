#!/usr/bin/env bash
# Checks format and runs the linter over every source file. With --fix the formatter rewrites the files; with --changed
# only the files that differ from main are linted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
cmake --preset release >/dev/null
# A file is linted again only when it, a header, or the linter's settings have changed.
stamps=build/lint
mkdir -p "$stamps"
headers=$(git ls-files --cached --others --exclude-standard '*.h' .clang-tidy CMakeLists.txt | xargs cat | sha256sum | cut -c1-16)
todo=()
changed=$(git diff --name-only main --; git ls-files --others --exclude-standard)
for file in "${files[@]}"; do
    [[ $file = *.cpp ]] || continue
    if [ "${1:-}" = --changed ] && ! grep -qxF "$file" <<<"$changed"; then
        continue
    fi
    stamp="$stamps/$(sha256sum <<<"$file $headers $(sha256sum <"$file")" | cut -c1-32)"
    [ -e "$stamp" ] || todo+=("$file" "$stamp")
done
if [ ${#todo[@]} -gt 0 ]; then
    printf '%s\n' "${todo[@]}" | xargs -n 2 -P "${LINT_JOBS:-$(nproc)}" bash -c 'clang-tidy --quiet -p build/release "$0" 2>/dev/null && touch "$1"'
fi
echo "lint: ${#files[@]} files clean"
