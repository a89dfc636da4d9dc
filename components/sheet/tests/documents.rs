//! Which sheet documents are refused, and with what place and cause.

use sheet::{
    check_successor,
    pack,
    parse,
    Acceptance,
    Offer,
    Sheet, //
};

const GOOD: &str = r#"
version: 7
published: 2026-12-03T06:00:00Z
origin_region: accra
data_centres:
  accra-a: {region: accra, state: in}
  kumasi-a: {region: kumasi, state: out}
models:
  drafting:
    version: v1
    manifest: "0000000000000000000000000000000000000000000000000000000000000000"
    cold_limit: 2
    full_limit: 16
    max_out_percent: 34
    instances:
      accra-a: [draft-1, draft-2]
      kumasi-a: [draft-3]
services:
  orders:
    limit: 8
    calls:
      - {method: GET, path: /jobs, repeatable: true}
    instances: {accra-a: [orders-1]}
    homes:
      - {from: 2026-12-01T00:00:00Z, instances: [orders-1]}
teams:
  head-office: {share: 3}
leaving: [draft-2]
"#;

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    says: &'static [&'static str],
}

#[test]
fn bad_documents_are_refused_with_place_and_cause() {
    let cases = [
        Case {
            name: "unknown field",
            from: "leaving:",
            to: "leavin:",
            says: &["section sheet", "unknown field `leavin`", "line"],
        },
        Case {
            name: "wrong type",
            from: "cold_limit: 2",
            to: "cold_limit: two",
            says: &["models.drafting.cold_limit", "two", "line 12"],
        },
        Case {
            name: "not a digest",
            from: "manifest: \"00",
            to: "manifest: \"0g",
            says: &["models.drafting.manifest", "64 hexadecimal digits", "line"],
        },
        Case {
            name: "cold above full",
            from: "cold_limit: 2",
            to: "cold_limit: 17",
            says: &["models.drafting.cold_limit", "17", "1 to 16"],
        },
        Case {
            name: "nothing may be out",
            from: "max_out_percent: 34",
            to: "max_out_percent: 0",
            says: &["models.drafting.max_out_percent", "0", "1 to 100"],
        },
        Case {
            name: "unknown data centre",
            from: "kumasi-a: [draft-3]",
            to: "tamale-a: [draft-3]",
            says: &[
                "models.drafting.instances.tamale-a",
                "a data centre of the sheet",
            ],
        },
        Case {
            name: "instance twice",
            from: "kumasi-a: [draft-3]",
            to: "kumasi-a: [draft-1]",
            says: &["models.drafting.instances.kumasi-a", "draft-1", "accra-a"],
        },
        Case {
            name: "instance with two workloads",
            from: "instances: {accra-a: [orders-1]}",
            to: "instances: {accra-a: [draft-1]}",
            says: &[
                "services.orders.instances.accra-a",
                "draft-1",
                "models.drafting",
            ],
        },
        Case {
            name: "unknown instance leaves",
            from: "leaving: [draft-2]",
            to: "leaving: [draft-9]",
            says: &["leaving", "draft-9"],
        },
        Case {
            name: "version zero",
            from: "version: 7",
            to: "version: 0",
            says: &["version", "0", "1 or more"],
        },
        Case {
            name: "unknown origin region",
            from: "origin_region: accra",
            to: "origin_region: volta",
            says: &["origin_region", "volta"],
        },
        Case {
            name: "relative path",
            from: "path: /jobs",
            to: "path: jobs",
            says: &["services.orders.calls[0].path", "jobs", "starts with /"],
        },
        Case {
            name: "no homes",
            from: "Z, instances: [orders-1]}",
            to: "Z, instances: []}",
            says: &["services.orders.homes[0].instances", "at least one"],
        },
        Case {
            name: "share zero",
            from: "share: 3",
            to: "share: 0",
            says: &["teams.head-office.share", "0", "1 to 1000"],
        },
    ];
    assert!(parse(GOOD).is_ok(), "{:?}", parse(GOOD));
    for case in cases {
        let text = GOOD.replacen(case.from, case.to, 1);
        assert_ne!(text, GOOD, "{}: nothing replaced", case.name);
        let error = parse(&text).unwrap_err().to_string();
        for words in case.says {
            assert!(error.contains(words), "{}: {error}", case.name);
        }
    }
}

#[test]
fn a_packed_sheet_assembles_to_the_same() {
    let sheet = parse(GOOD).unwrap();
    let packed = pack(&sheet);
    let mut acceptance = Acceptance::default();
    let mut offer = acceptance.offer_index(&packed.index);
    for text in packed.sections.values() {
        offer = acceptance.offer_section(text);
    }
    assert_eq!(offer, Offer::Accepted(std::sync::Arc::new(sheet)));
}

struct Successor {
    name: &'static str,
    change: fn(&mut Sheet),
    allowed: bool,
}

#[test]
fn homes_may_change_only_beyond_what_the_last_sheet_vouches_for() {
    let cases = [
        Successor {
            name: "a later version",
            change: |_| {},
            allowed: true,
        },
        Successor {
            name: "the same version",
            change: |sheet| sheet.version = 7,
            allowed: false,
        },
        Successor {
            name: "an earlier publication",
            change: |sheet| sheet.published -= std::time::Duration::from_secs(1),
            allowed: false,
        },
        Successor {
            name: "other homes at once",
            change: |sheet| {
                let service = sheet.services.get_mut("orders").unwrap();
                service.homes[0].instances = vec!["orders-2".into()];
            },
            allowed: false,
        },
        Successor {
            name: "other homes after the horizon",
            change: |sheet| {
                let from = sheet.published + 2 * sheet.home_horizon;
                let service = sheet.services.get_mut("orders").unwrap();
                service.homes.push(sheet::HomeSet {
                    from,
                    instances: vec!["orders-2".into()],
                });
            },
            allowed: true,
        },
    ];
    let last = parse(GOOD).unwrap();
    for case in cases {
        let mut next = last.clone();
        next.version = 8;
        (case.change)(&mut next);
        let result = check_successor(&last, &next);
        assert_eq!(result.is_ok(), case.allowed, "{}: {result:?}", case.name);
    }
}
