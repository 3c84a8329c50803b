#!/usr/bin/env python3
"""Checks that the build uses no system package besides those that
deploy/system.toml lists, on a machine that may have many more.

Usage: check_packages.py [--list] [TREE]

Runs the build command of the deploy file twice, each time in a fresh copy of
TREE (the files that git tracks or would add; default: this repository).
1. Under strace: each file that the build reads or runs has to belong to a
   listed package or to what dpkg says these depend on. Recommended packages do
   not count, since they may be missing. Nothing is read from the tests, nothing
   is written outside target/, no socket is opened.
2. With only the programs and pkg-config modules of these packages, and without
   the tests: it has to succeed.
--list prints the files that were used, with their packages.

Needs Debian's dpkg, strace and git; no root. Exit status: 0 if all of it holds,
1 if not (a line for each package and file), 2 if it could not be run.
"""
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

DEPLOY = "deploy/system.toml"
OUTPUT = "target"
# Folders that a build must do without.
TEST_FOLDERS = ("tests", "bench", "review")
# Folders that are of no interest here, and large.
SKIPPED_FOLDERS = ("journal",)
PATH = "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin"
# The machine's list of library folders, to which any package may add; the
# libraries found there are checked. And files of the kernel.
IGNORED = ("/etc/ld.so.cache", "/etc/ld.so.conf.d/", "/dev/", "/proc/", "/sys/")
CALLS = ("execve,socket,chdir,fchdir,?open,openat,?creat,?mkdir,mkdirat,"
         "?rename,renameat,renameat2,?unlink,unlinkat,?rmdir,?link,linkat,"
         "?symlink,symlinkat")
WRITING_FLAGS = re.compile(r"O_(WRONLY|RDWR|CREAT|TRUNC)")
CALL = re.compile(r"^(\w+)\((.*)\)\s+= (-?\d+)(?:<(.*)>)?")


class CannotRun(Exception):
    """The check itself could not be carried out."""


def run(command, **options):
    return subprocess.run(command, text=True, stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, check=False, **options)


class Packages:
    """What dpkg knows of the installed packages."""

    def __init__(self):
        self.depends = {}   # package -> list of lists of alternatives
        self.provides = {}  # virtual package -> real ones
        self.base = set()   # on every machine: essential or required
        shown = run(["dpkg-query", "-W", "-f",
                     "${db:Status-Status}\t${Package}\t${Essential}\t"
                     "${Priority}\t${Pre-Depends}, ${Depends}\t${Provides}\n"])
        if shown.returncode != 0:
            raise CannotRun("dpkg-query: " + shown.stdout)
        for line in shown.stdout.splitlines():
            fields = line.split("\t")
            if len(fields) != 6 or fields[0] != "installed":
                continue
            _, name, essential, priority, depends, provides = fields
            self.depends[name] = [
                [self.bare(word) for word in group.split("|")]
                for group in depends.split(",") if group.strip()]
            for virtual in provides.split(","):
                self.provides.setdefault(self.bare(virtual), []).append(name)
            if essential == "yes" or priority == "required":
                self.base.add(name)

    @staticmethod
    def bare(word):
        """The name alone, of "NAME:ARCH (>= VERSION)"."""
        return word.split("(")[0].split("[")[0].strip().split(":")[0]

    def installed(self, name):
        """The installed packages that are or provide NAME."""
        return [name] if name in self.depends else self.provides.get(name, [])

    def closure(self, listed):
        """LISTED, the base, and all that these depend on. Where a dependency
        has alternatives, one already included is enough; else the first one
        installed is taken, as apt prefers the first."""
        included, queue = set(), list(listed) + sorted(self.base)
        while queue:
            name = queue.pop()
            if name in included:
                continue
            included.add(name)
            for alternatives in self.depends[name]:
                found = [p for a in alternatives for p in self.installed(a)]
                if found and not included.intersection(found):
                    queue.append(found[0])
        return included

    @staticmethod
    def owners(paths):
        """PATHS -> the packages that have each. dpkg records a file under the
        name by which its package has it: /lib and /usr/lib are one folder."""
        asked = {}
        for path in paths:
            asked[path] = path
            if re.match(r"/usr/(s?bin|lib[0-9a-z]*)/", path):
                asked[path[len("/usr"):]] = path
        owners = {path: set() for path in paths}
        names = sorted(asked)
        for i in range(0, len(names), 500):
            shown = run(["dpkg", "-S"] + names[i:i + 500])
            for line in shown.stdout.splitlines():
                packages, _, path = line.partition(": ")
                if path in asked and not packages.startswith("diversion by"):
                    owners[asked[path]].update(
                        p.split(":")[0] for p in packages.split(", "))
        return owners


def links_to(path):
    """PATH, then what it links to, step by step; folders without links."""
    steps = []
    while path not in steps:
        path = os.path.join(os.path.realpath(os.path.dirname(path)),
                            os.path.basename(path))
        steps.append(path)
        if os.path.islink(path):
            path = os.path.join(os.path.dirname(path), os.readlink(path))
    return steps


class Trace:
    """What the processes of a build read, ran and wrote."""

    def __init__(self, folder, tree):
        self.read, self.written, self.sockets = set(), set(), set()
        for name in os.listdir(folder):
            self.cwd = tree
            with open(os.path.join(folder, name), errors="replace") as lines:
                for line in lines:
                    match = CALL.match(line)
                    if match and not match[3].startswith("-"):
                        self.add(*match.groups())

    def add(self, call, arguments, _, opened):
        paths = re.findall(r'"((?:[^"\\]|\\.)*)"', arguments)
        folder = re.match(r"(?:AT_FDCWD|\d+)<([^>]*)>", arguments)
        if folder and arguments.startswith("AT_FDCWD"):
            self.cwd = folder[1]
        at = folder[1] if folder else self.cwd
        paths = [os.path.join(at, path) for path in paths]
        if call == "socket":
            if "AF_UNIX" not in arguments:
                self.sockets.add(arguments)
        elif call == "chdir":
            self.cwd = paths[0]
        elif call == "fchdir":
            self.cwd = folder[1] if folder else self.cwd
        elif call == "execve":
            self.read.add(paths[0])
            self.add_interpreter(paths[0])
        elif call in ("open", "openat") and not WRITING_FLAGS.search(arguments):
            if "O_DIRECTORY" not in arguments:
                self.read.add(paths[0])
                if opened:
                    self.read.add(opened)
        elif call.startswith(("symlink", "link", "rename")):
            self.written.add(paths[-1])
        else:
            self.written.add(paths[0])

    def add_interpreter(self, program):
        """The kernel opens the interpreter of a script: no call shows it."""
        try:
            with open(program, "rb") as start:
                first = start.readline(256)
        except OSError:
            return
        if first.startswith(b"#!") and first[2:].split():
            self.read.add(first[2:].split()[0].decode())


def copy_tree(tree, destination):
    """A fresh checkout of TREE, with changes that are not committed yet."""
    shown = run(["git", "-C", tree, "ls-files", "-z", "-co",
                 "--exclude-standard"])
    if shown.returncode != 0:
        raise CannotRun("git ls-files: " + shown.stdout)
    for name in filter(None, shown.stdout.split("\0")):
        source = os.path.join(tree, name)
        if name.split("/")[0] in SKIPPED_FOLDERS or not os.path.exists(source):
            continue
        target = os.path.join(destination, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy2(source, target)


def environment(scratch, path, modules=None):
    """A build's environment: nothing of the caller's."""
    env = {"PATH": path, "HOME": scratch, "TMPDIR": scratch, "LANG": "C"}
    if modules:
        env["PKG_CONFIG_LIBDIR"] = modules
    return env


def inside(path, folder):
    return path == folder or path.startswith(folder + "/")


def judge(trace, tree, scratch, packages, included):
    """Returns the failures of a traced build, and the files with packages."""
    failures = []
    steps = {}
    for path in trace.read:
        if path.startswith(IGNORED) or os.path.isdir(path):
            continue
        chain = links_to(path)
        part = os.path.relpath(chain[-1], tree).split(os.sep)[0]
        if part in TEST_FOLDERS:
            failures.append(f"the tests: {os.path.relpath(chain[-1], tree)}"
                            " is used by the build")
        if not inside(chain[-1], tree) and not inside(chain[-1], scratch):
            steps[path] = chain
    owners = packages.owners({p for chain in steps.values() for p in chain})
    used = {}
    for chain in steps.values():
        # Links without a package are those of update-alternatives.
        for path in chain:
            if owners[path] or path == chain[-1]:
                used[path] = owners[path]
    for path, names in sorted(used.items()):
        if not names:
            failures.append(f"no package: {path} is used by the build")
        elif not names & included:
            failures.append(f"{' or '.join(sorted(names))}: not listed, and"
                            f" {path} is used by the build")
    for path in sorted(trace.written):
        real = links_to(os.path.normpath(path))[0]
        if not (inside(real, os.path.join(tree, OUTPUT)) or
                inside(real, scratch) or path.startswith("/dev/")):
            failures.append(f"outside {OUTPUT}/: {path} is written")
    for arguments in sorted(trace.sockets):
        failures.append(f"network: socket({arguments}) is opened")
    return failures, used


def link_programs(folder, packages, included):
    """Fills FOLDER with links to the programs of the packages INCLUDED, and
    FOLDER.pc with their pkg-config modules."""
    modules = folder + ".pc"
    os.makedirs(folder)
    os.makedirs(modules)
    programs = [os.path.join(d, f) for d in PATH.split(":")
                if os.path.isdir(d) for f in os.listdir(d)]
    shown = run(["pkg-config", "--variable", "pc_path", "pkg-config"])
    found = [os.path.join(d, f) for d in shown.stdout.strip().split(":")
             if os.path.isdir(d) for f in os.listdir(d)]
    chains = {p: links_to(p) for p in programs + found}
    owners = packages.owners({p for c in chains.values() for p in c})
    for path, chain in chains.items():
        # A link of update-alternatives has no package; its target decides.
        names = next((owners[p] for p in chain if owners[p]), set())
        link = os.path.join(modules if path in found else folder,
                            os.path.basename(path))
        if names & included and not os.path.lexists(link):
            os.symlink(path, link)
    return modules


def build_traced(tree, scratch, command, packages, included):
    """Builds a fresh copy under strace. Returns as judge() does."""
    fresh, logs = os.path.join(scratch, "traced"), os.path.join(scratch, "log")
    temporary = os.path.join(scratch, "tmp")
    for folder in (fresh, logs, temporary):
        os.makedirs(folder)
    copy_tree(tree, fresh)
    built = run(["strace", "-ff", "--seccomp-bpf", "-y", "-s", "4096", "-qq",
                 "-e", "signal=none", "-e", "trace=" + CALLS, "-o",
                 os.path.join(logs, "t"), "/bin/sh", "-c", command], cwd=fresh,
                stdin=subprocess.DEVNULL, env=environment(temporary, PATH))
    if not os.listdir(logs):
        raise CannotRun("strace: " + built.stdout)
    failures, used = judge(Trace(logs, fresh), fresh, temporary, packages,
                           included)
    if built.returncode != 0:
        failures.append(f"the build failed:\n{built.stdout.rstrip()}")
    return failures, used


def build_alone(tree, scratch, command, packages, included):
    """Builds a copy without the tests, with the programs and modules of the
    packages INCLUDED alone. Returns the failures."""
    alone = os.path.join(scratch, "alone")
    copy_tree(tree, alone)
    for folder in TEST_FOLDERS:
        shutil.rmtree(os.path.join(alone, folder), ignore_errors=True)
    programs = os.path.join(scratch, "bin")
    modules = link_programs(programs, packages, included)
    temporary = os.path.join(scratch, "tmp")
    built = run(["/bin/sh", "-c", command], cwd=alone,
                stdin=subprocess.DEVNULL,
                env=environment(temporary, programs, modules))
    if built.returncode == 0:
        return []
    return ["the build failed with the listed packages alone, without the"
            f" tests:\n{built.stdout.rstrip()}"]


def check(tree, scratch, show):
    """Returns the failures of both builds."""
    with open(os.path.join(tree, DEPLOY), "rb") as settings:
        deploy = tomllib.load(settings)
    listed, command = deploy["packages"], deploy["build"]
    packages = Packages()
    absent = [p for p in listed if p not in packages.depends]
    if absent:
        return [f"{p}: listed, but not installed here" for p in absent]
    included = packages.closure(listed)
    failures, used = build_traced(tree, scratch, command, packages, included)
    if show:
        for path, names in sorted(used.items()):
            print(" ".join(sorted(names)) or "-", path)
    failures = failures or build_alone(tree, scratch, command, packages,
                                       included)
    if not failures:
        names = {n for owner in used.values() for n in owner & included}
        print(f"{len(used)} files of {len(names)} packages are used by the"
              " build, all of packages listed or of their dependencies")
    return failures


def main():
    arguments = sys.argv[1:]
    show = "--list" in arguments
    trees = [a for a in arguments if a != "--list"]
    home = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    scratch = os.path.realpath(tempfile.mkdtemp(prefix="packages-"))
    try:
        failures = check(os.path.realpath(trees[0] if trees else home),
                         scratch, show)
    except (CannotRun, OSError, KeyError, tomllib.TOMLDecodeError) as error:
        print(f"check_packages: {error}", file=sys.stderr)
        return 2
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    for failure in sorted(set(failures)):
        print(failure)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
