#!/usr/bin/env python3
"""Reports what a fleet of gateways admitted beyond its customers' quotas, and why, from their decision logs.

    tools/count_quotas.py DIRECTORY [--customer C]

DIRECTORY holds one log per gateway (*.log), written with `[log] decisions = true` in the gateway's settings; each line
begins with its time in seconds on a clock that all gateways share. The tool rebuilds each customer's token bucket (its
store) from the lines of all gateways, and each gateway's slice of it from that gateway's lines. The price is the worth of
what was admitted beyond the quota, times the plan's cost, divided by the worth of what a single bucket that saw all
requests would have admitted. Clients' retries count as requests, because the log does not mark them, so the price is too
low for a fleet whose clients retry often.
"""
import argparse
import collections
import glob
import os
import re
import sys

FIELD = re.compile(r"([a-z]+)=(\S+)")
IDLE_SECONDS = 60.0
# A refused customer's next request at another gateway within this time may be a retry of the same request.
OTHER_GATEWAY_RETRY_SECONDS = 2.0


class Bucket:
    def __init__(self, volume, rate, level, at):
        self.volume, self.rate, self.level, self.at = volume, rate, level, at

    def refill(self, now):
        self.level += max(0.0, min(self.volume - self.level, self.rate * (now - self.at)))
        self.at = max(self.at, now)


def read(directory):
    plans, classes, requests = {}, {}, []
    for path in sorted(glob.glob(os.path.join(directory, "*.log"))):
        gateway = os.path.basename(path)[:-4]
        for number, line in enumerate(open(path, errors="replace"), 1):
            words = line.split(" ", 2)
            if len(words) < 3 or words[1] != "decision:":
                if " lines were left out" in line:
                    sys.exit(f"{path}:{number}: lines are missing: the log's size limit was reached")
                continue
            fields = dict(FIELD.findall(words[2]))
            if "customer" in fields:
                requests.append((float(words[0]), gateway, fields["customer"], int(fields["plan"]),
                                 int(fields["class"]), float(fields["units"]), float(fields["spread"]),
                                 fields.get("refused", "")))
            elif "plan" in fields:
                plans[int(fields["plan"])] = {k: float(v) for k, v in fields.items()}
            elif "class" in fields:
                classes[int(fields["class"])] = float(fields["worth"])
    if not requests:
        sys.exit(f"{directory}: no decisions in it: are the logs written with [log] decisions = true?")
    requests.sort(key=lambda r: r[0])
    return plans, classes, requests


def count(plans, classes, requests, customer=None):
    buckets, ideal_buckets, slices, last_refused, seen_at = {}, {}, {}, {}, {}
    causes = collections.Counter()
    due, asked, passed = collections.Counter(), collections.Counter(), collections.Counter()
    kept, refused = collections.Counter(), collections.Counter()
    total_due = 0.0
    for at, gateway, c, plan, cls, units, spread, why in requests:
        p = plans[plan]
        if p["rate"] <= 0:
            continue
        worth = p["pays"] * classes[cls] * units
        bucket = buckets.setdefault(c, Bucket(p["burst"], p["rate"], p["burst"], at))
        ideal_bucket = ideal_buckets.setdefault(c, Bucket(p["burst"], p["rate"], p["burst"], at))
        bucket.refill(at), ideal_bucket.refill(at)
        asked[plan] += worth
        room = bucket.level >= units - 1e-9
        if ideal_bucket.level >= units - 1e-9:
            ideal_bucket.level -= units
            due[plan] += worth
            total_due += worth
        key = (gateway, c)
        first = key not in slices
        idle = not first and at - seen_at[key] > IDLE_SECONDS
        volume = p["burst"] / spread
        if first:
            slices[key] = Bucket(volume, p["rate"] / spread, volume, at)
        slice_bucket = slices[key]
        slice_bucket.refill(at)
        holds = slice_bucket.level >= min(units, volume) - 1e-9
        again = at - last_refused.get(c, (-1e9, ""))[0] < OTHER_GATEWAY_RETRY_SECONDS and last_refused[c][1] != gateway
        if customer == c:
            print(f"{at:8.3f} {gateway:>6} units {units:.3g} slice {slice_bucket.level:+.4f} of {volume:.4f} "
                  f"store {bucket.level:+.3f} of {bucket.volume:.3f} {'refused: ' + why if why else 'sent'}"
                  f"{'' if why or room else ', beyond'}")
        seen_at[key] = at
        if why:
            last_refused[c] = (at, gateway)
            refused[(plan, why, room)] += worth
            continue
        if holds:
            slice_bucket.level -= units
        passed[plan] += worth
        if room:
            bucket.level -= units
            kept[plan] += worth
            continue
        if first:
            cause = "first, full slice" if units <= volume else "first, larger than its slice"
        elif idle:
            cause = "back after idling"
        elif holds:
            cause = "slice holds it" if units <= volume else "larger than its slice, full again"
        else:
            cause = "beyond its slice, by worth expected"
        if again:
            cause += " (after a refusal elsewhere)"
        causes[(plan, cause)] += worth * p["cost"]
    return causes, due, asked, passed, kept, refused, total_due, buckets


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("directory")
    parser.add_argument("--customer", help="print each of its requests")
    options = parser.parse_args()
    plans, classes, requests = read(options.directory)
    causes, due, asked, passed, kept, refused, total, _ = count(plans, classes, requests, options.customer)
    price = sum(causes.values()) / total
    print(f"{len(requests)} requests; price of quotas {price:.4f} of the worth due")
    for plan in sorted(plans):
        if not due[plan]:
            continue
        mine = sum(v for (q, _), v in causes.items() if q == plan)
        print(f"plan {plan}: rate {plans[plan]['rate']:.3g} cost {plans[plan]['cost']:.3g}: due {due[plan] / total:.3f}, "
              f"asked {asked[plan] / total:.3f}, passed {passed[plan] / total:.3f}, inside {kept[plan] / total:.3f}, "
              f"price {mine / total:.4f}")
        for (q, cause), value in sorted(causes.items(), key=lambda i: -i[1]):
            if q == plan:
                print(f"    {value / total:.4f} {cause}")
        for (q, why, room), value in sorted(refused.items(), key=lambda i: -i[1]):
            if q == plan:
                print(f"    refused {why}, store {'had room' if room else 'was empty'}: {value / total:.4f}")


if __name__ == "__main__":
    main()
