#!/bin/sh
# Unpacks the program into a cache directory of this user unless it is there already,
# and replaces itself with it.
set -eu
umask 077
digest=@DIGEST@
manifest=@MANIFEST@
offset=@OFFSET@

fail() {
    echo "galenashift: $1" >&2
    exit 1
}

# Prints the SHA-256 digest of a file or of the standard input.
digest_of() {
    sha256sum "$@" | cut -c 1-64
}

# A directory is complete and unmodified if it has the expected manifest and all files
# match the manifest.
is_intact() {
    [ -f "$1/SHA256SUMS" ] || return 1
    [ "$(digest_of "$1/SHA256SUMS")" = "$manifest" ] || return 1
    (cd "$1" && sha256sum -c SHA256SUMS >/dev/null 2>&1)
}

cache=${GALENASHIFT_CACHE_DIR:-${XDG_RUNTIME_DIR:-${TMPDIR:-/tmp}}/galenashift-$(id -u)}
mkdir -m 700 "$cache" 2>/dev/null || [ -d "$cache" ] || fail "cannot create $cache"
# The directory must belong to this user, since others could replace the program there.
{ [ ! -L "$cache" ] && [ -O "$cache" ]; } || fail "$cache belongs to another user"
case $(ls -ld "$cache") in
drwx------*) ;;
*) fail "$cache must have mode 0700" ;;
esac

target=$cache/$digest
if ! is_intact "$target"; then
    staging=$(mktemp -d "$cache/part.XXXXXX") || fail "cannot write to $cache"
    trap 'rm -rf "$staging"' EXIT
    trap 'exit 1' HUP INT TERM
    [ "$(tail -c "+$offset" "$0" | digest_of)" = "$digest" ] || fail "$0 is damaged"
    mkdir "$staging/new"
    tail -c "+$offset" "$0" | tar -xzf - -C "$staging/new" ||
        fail "cannot unpack to $staging"
    is_intact "$staging/new" || fail "$staging is damaged after unpacking"
    # A damaged directory is moved away. An intact one that a concurrent start has just
    # renamed into place stays: the rename below then fails, and that one is used.
    if [ -e "$target" ] && ! is_intact "$target"; then
        mv -T "$target" "$staging/damaged" || fail "cannot replace $target"
    fi
    mv -T "$staging/new" "$target" 2>/dev/null || is_intact "$target" ||
        fail "cannot create $target"
    rm -rf "$staging"
    trap - EXIT HUP INT TERM
fi
exec "$target/galenashift" "$@"
