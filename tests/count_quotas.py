"""Tests tools/count_quotas.py on hand-written logs: two gateways, and one customer whose bucket holds two requests."""
import os
import subprocess
import sys
import tempfile

PLAN = "0.000 decision: plan=0 rate=1 burst=2 pays=2 cost=0.5 earns=0 ceiling=0 ceilingburst=0 open=0\n"
CLASS = "0.000 decision: class=0 worth=3 aim=1000 deadline=4000\n"


def decision_line(at, verdict, customer="a1"):
    return f"{at:.3f} decision: customer={customer} plan=0 class=0 units=1 spread=2 {verdict}\n"


def run(tool, logs):
    with tempfile.TemporaryDirectory() as directory:
        for name, text in logs.items():
            with open(os.path.join(directory, name + ".log"), "w") as file:
                file.write(text)
        done = subprocess.run([sys.executable, tool, directory], capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr


def main():
    tool = os.path.join(sys.argv[1], "tools", "count_quotas.py")
    # Three requests are sent at once, but the bucket holds two. A fourth is refused; a fifth, one second later, is within
    # the quota.
    code, text = run(tool, {
        "n0": (PLAN + CLASS + decision_line(0.1, "sent") + decision_line(0.1, "sent")
               + decision_line(0.1, "refused=beyond") + "0.200 note: other\n"),
        "n1": PLAN + CLASS + decision_line(0.1, "sent") + decision_line(1.2, "sent")})
    assert code == 0, text
    # Two requests at once and one later are due, each worth six; the one beyond the quota costs half of six.
    assert "5 requests; price of quotas 0.1667 of the worth due" in text, text
    assert "due 1.000, asked 1.667, passed 1.333, inside 1.000, price 0.1667" in text, text
    assert "0.1667 first, full slice" in text, text
    assert "refused beyond, store was empty: 0.3333" in text, text
    code, text = run(tool, {"n0": "0.000 ready: n0\n"})
    assert code != 0 and "no decisions in it" in text, text
    code, text = run(tool, {"n0": PLAN + CLASS + decision_line(0.1, "sent") + "0.2 17 lines were left out\n"})
    assert code != 0 and "n0.log:4: lines are missing" in text, text
    print("count_quotas: good")


main()
