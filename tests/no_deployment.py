"""Checks that neither the program nor its deploy file names a class, plan, zone or host type of a deployment.

The names are those of the deployments under deploy/sites and of two more that the program is known to serve. The check
is first tried on a text that contains such a name, to show that it can fail.
"""
import pathlib
import re
import sys
import tomllib

KNOWN = {
    "granite-coast", "stock-servers", "std-4core", "stock-lookup", "item-hold", "corner", "storefront", "flagship",
    "anchor", "north-building", "mill-building", "south-building", "muscat-loans", "loan-servers", "std-2core",
    "loan-lookup", "premium", "muscat-dc1",
}  # without 'basic' and 'standard', which have other uses in the code


def deployment_names(site):
    yield site["name"]
    yield from site["net"]["zones"]
    for tier in site["tier"]:
        yield tier["name"]
        yield from (kind["name"] for kind in tier["kind"])
    for part in ("class", "tenant"):
        yield from (item["name"] for item in site[part])


def find_names(text, names):
    return sorted(n for n in names if re.search(r"(?<![A-Za-z0-9_-])" + re.escape(n) + r"(?![A-Za-z0-9_-])", text))


def main(root):
    names = set(KNOWN)
    sites = sorted((root / "deploy/sites").glob("*/*.toml"))
    if len(sites) < 2:
        sys.exit("no deployments under deploy/sites")
    for path in sites:
        names.update(deployment_names(tomllib.loads(path.read_text())))
    if find_names('if (name == "item-hold")', names) != ["item-hold"] or find_names("anchored", names):
        sys.exit("the check does not find a name in a sample text")
    files = [root / "deploy/balancer.toml"]
    for folder in ("src", "include", "adapter"):
        files += [p for p in (root / folder).rglob("*") if p.is_file()]
    bad = [f"{path.relative_to(root)}: {', '.join(found)}"
           for path in sorted(files) if (found := find_names(path.read_text(), names))]
    if bad:
        sys.exit("names of a deployment in:\n" + "\n".join(bad))
    print(f"{len(files)} files contain none of {len(names)} deployment names")


main(pathlib.Path(sys.argv[1]))
