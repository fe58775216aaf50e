# run_case NAME: runs a stand-in of this folder against the router of the deploy file and exits with its result: 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. Source this file from the case's run.sh. The stand-in starts the router, serves its
# store and workers, plays its callers, and ends it.
run_case() {
    local case_folder folder command result
    case_folder=$(cd "$(dirname "$0")" && pwd)
    cd "$case_folder/../.." || exit 2
    command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -1)
    [ -x "$command" ] || { echo "$command is not built: run the build line of deploy/system.toml first"; exit 2; }
    [ -x "target/review-3/$1" ] || review/build-3.sh || exit 2
    folder=$(mktemp -d) || exit 2
    timeout -k 2 117 "target/review-3/$1" "$folder" "$command" "$case_folder/record.txt"
    result=$?
    rm -rf "$folder"
    case $result in
    0 | 1) exit "$result" ;;
    *) exit 2 ;;
    esac
}
