"""Tests that tools/check_layers.py finds includes of other layers and sockets and uses of clocks, and accepts the tree."""
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(sys.argv[1])


def check(root):
    done = subprocess.run([sys.executable, ROOT / "tools/check_layers.py", root], capture_output=True, text=True)
    return done.returncode, done.stdout


def check_file(name, text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, name)
        path.parent.mkdir(parents=True)
        path.write_text(text)
        return check(folder)


for name, text in (("src/engine/a.cpp", '#include "resp/resp.h"\n'),
                   ("src/admission/a.h", '#include "engine/engine.h"\n'),
                   ("src/resp/a.cpp", "#include <sys/socket.h>\n"),
                   ("src/membership/a.cpp", "#include <boost/asio.hpp>\n"),
                   ("include/cometfold/a.h", "auto now = std::chrono::steady_clock::now();\n"),
                   ("src/engine/b.cpp", '#include "engine.h"\n')):
    code, out = check_file(name, text)
    if code == 0 or f"{name}:1:" not in out:
        sys.exit(f"violation in {name} was not found: {text}{out}")
code, out = check_file("src/resp/a.cpp", '#include "engine/engine.h"\n#include "cometfold/attempt_rules.h"\n')
if code != 0:
    sys.exit(f"an allowed include was reported: {out}")
code, out = check(ROOT)
print(out)
sys.exit(code)
