//! Checks that invalid sheet documents are rejected with an error that names place and cause.

use sheet::{
    check_successor,
    pack,
    parse,
    OfferResult,
    Sheet,
    SheetCollector, //
};

const VALID: &str = r#"
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
    message_parts: &'static [&'static str],
}

#[test]
fn invalid_documents_are_rejected_with_place_and_cause() {
    let cases = [
        Case {
            name: "unknown field",
            from: "leaving:",
            to: "leavin:",
            message_parts: &["section sheet", "unknown field `leavin`", "line"],
        },
        Case {
            name: "home horizon beyond the end of time",
            from: "origin_region: accra",
            to: "origin_region: accra\nhome_horizon: 500000000000years",
            message_parts: &["home_horizon", "up to 365days"],
        },
        Case {
            name: "version out of range",
            from: "version: 7",
            to: "version: 18446744073709551616",
            message_parts: &["version", "line"],
        },
        Case {
            name: "wrong type",
            from: "cold_limit: 2",
            to: "cold_limit: two",
            message_parts: &["models.drafting.cold_limit", "two", "line 12"],
        },
        Case {
            name: "not a digest",
            from: "manifest: \"00",
            to: "manifest: \"0g",
            message_parts: &["models.drafting.manifest", "64 hexadecimal digits", "line"],
        },
        Case {
            name: "cold limit above full limit",
            from: "cold_limit: 2",
            to: "cold_limit: 17",
            message_parts: &["models.drafting.cold_limit", "17", "1 to 16"],
        },
        Case {
            name: "no target may be out of service",
            from: "max_out_percent: 34",
            to: "max_out_percent: 0",
            message_parts: &["models.drafting.max_out_percent", "0", "1 to 100"],
        },
        Case {
            name: "unknown data centre",
            from: "kumasi-a: [draft-3]",
            to: "tamale-a: [draft-3]",
            message_parts: &[
                "models.drafting.instances.tamale-a",
                "a data centre of the sheet",
            ],
        },
        Case {
            name: "instance twice",
            from: "kumasi-a: [draft-3]",
            to: "kumasi-a: [draft-1]",
            message_parts: &["models.drafting.instances.kumasi-a", "draft-1", "accra-a"],
        },
        Case {
            name: "instance with two workloads",
            from: "instances: {accra-a: [orders-1]}",
            to: "instances: {accra-a: [draft-1]}",
            message_parts: &[
                "services.orders.instances.accra-a",
                "draft-1",
                "models.drafting",
            ],
        },
        Case {
            name: "unknown instance leaves",
            from: "leaving: [draft-2]",
            to: "leaving: [draft-9]",
            message_parts: &["leaving", "draft-9"],
        },
        Case {
            name: "version zero",
            from: "version: 7",
            to: "version: 0",
            message_parts: &["version", "0", "1 or more"],
        },
        Case {
            name: "unknown origin region",
            from: "origin_region: accra",
            to: "origin_region: volta",
            message_parts: &["origin_region", "volta"],
        },
        Case {
            name: "relative path",
            from: "path: /jobs",
            to: "path: jobs",
            message_parts: &["services.orders.calls[0].path", "jobs", "starts with /"],
        },
        Case {
            name: "no homes",
            from: "Z, instances: [orders-1]}",
            to: "Z, instances: []}",
            message_parts: &["services.orders.homes[0].instances", "at least one"],
        },
        Case {
            name: "share zero",
            from: "share: 3",
            to: "share: 0",
            message_parts: &["teams.head-office.share", "0", "1 to 1000"],
        },
        // It must not open the team to callers without a token.
        Case {
            name: "token digest without a value",
            from: "share: 3",
            to: "share: 3, token_digest: ",
            message_parts: &["token_digest"],
        },
        Case {
            name: "token digest that is null",
            from: "share: 3",
            to: "share: 3, token_digest: null",
            message_parts: &["token_digest"],
        },
    ];
    assert!(parse(VALID).is_ok(), "{:?}", parse(VALID));
    for case in cases {
        let text = VALID.replacen(case.from, case.to, 1);
        assert_ne!(text, VALID, "{}: nothing replaced", case.name);
        let error = parse(&text).unwrap_err().to_string();
        for part in case.message_parts {
            assert!(error.contains(part), "{}: {error}", case.name);
        }
    }
}

#[test]
fn a_packed_sheet_assembles_to_the_original() {
    let sheet = parse(VALID).unwrap();
    let packed = pack(&sheet);
    let mut collector = SheetCollector::default();
    let mut result = collector.offer_index(&packed.index);
    for text in packed.sections.values() {
        result = collector.offer_section(text);
    }
    assert_eq!(result, OfferResult::Activated(std::sync::Arc::new(sheet)));
}

struct SuccessorCase {
    name: &'static str,
    change: fn(&mut Sheet),
    allowed: bool,
}

#[test]
fn homes_may_change_only_after_the_home_horizon_of_the_previous_sheet() {
    let cases = [
        SuccessorCase {
            name: "a later version",
            change: |_| {},
            allowed: true,
        },
        SuccessorCase {
            name: "the same version",
            change: |sheet| sheet.version = 7,
            allowed: false,
        },
        SuccessorCase {
            name: "an earlier publication",
            change: |sheet| sheet.published -= std::time::Duration::from_secs(1),
            allowed: false,
        },
        SuccessorCase {
            name: "other homes at once",
            change: |sheet| {
                let service = sheet.services.get_mut("orders").unwrap();
                service.homes[0].instances = vec!["orders-2".into()];
            },
            allowed: false,
        },
        SuccessorCase {
            name: "other homes after the horizon",
            change: |sheet| {
                let from = sheet.published + 2 * sheet.home_horizon;
                let service = sheet.services.get_mut("orders").unwrap();
                service.homes.push(sheet::KeyHomes {
                    from,
                    instances: vec!["orders-2".into()],
                });
            },
            allowed: true,
        },
    ];
    let last = parse(VALID).unwrap();
    for case in cases {
        let mut next = last.clone();
        next.version = 8;
        (case.change)(&mut next);
        let result = check_successor(&last, &next);
        assert_eq!(result.is_ok(), case.allowed, "{}: {result:?}", case.name);
    }
}

/// Guards against a process that ends by an overflow of its stack.
#[test]
fn deeply_nested_documents_are_rejected() {
    for depth in [200, 2000] {
        let nested = "[".repeat(depth) + &"]".repeat(depth);
        let text = VALID.replace("{share: 3}", &nested);
        assert!(parse(&text).is_err(), "{depth} levels");
    }
}
