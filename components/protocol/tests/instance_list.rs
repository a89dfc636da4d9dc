//! Lists of instances with an odd entry of another writer. Guards against readers that no longer follow
//! the list.

use protocol::InstanceListUpdate;

const GOOD: [&str; 2] = [
    r#"{"name":"draft-1","address":"10.0.0.1:80","data_centre":"a","role":"agent","state":"live","revision":1}"#,
    r#"{"name":"draft-2","address":"10.0.0.2:80","data_centre":"a","role":"agent","state":"live","revision":3}"#,
];

struct Case {
    name: &'static str,
    odd: String,
}

#[test]
fn odd_entries_are_left_out_of_the_list() {
    let changed = |from: &str, to: &str| GOOD[0].replace(from, to);
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let case = |name, odd| Case { name, odd };
    let cases = [
        case("deeply nested", nested.clone()),
        case("deeply nested in a field", changed("\"draft-1\"", &nested)),
        case("port out of range", changed(":80", ":70000")),
        case(
            "number too large",
            changed("\"revision\":1", "\"revision\":1e400"),
        ),
        case("unknown state", changed("live", "asleep")),
        case("unknown role", changed("agent", "ghost")),
        case("no object", "null".into()),
        case("no fields", "{}".into()),
    ];
    for case in cases {
        let text = format!(
            r#"{{"revision":3,"instances":[{},{},{}]}}"#,
            GOOD[0], case.odd, GOOD[1]
        );
        let update = InstanceListUpdate::from_json(text.as_bytes()).unwrap();
        let names: Vec<&str> = update.instances.iter().map(|i| &*i.name).collect();
        assert_eq!(names, ["draft-1", "draft-2"], "{}", case.name);
        assert_eq!(update.revision, 3, "{}", case.name);
    }
}

#[test]
fn texts_that_are_no_list_are_errors() {
    for text in [
        "",
        "[]",
        r#"{"revision":1}"#,
        r#"{"revision":1,"instances":{}}"#,
    ] {
        assert!(
            InstanceListUpdate::from_json(text.as_bytes()).is_err(),
            "{text}"
        );
    }
}
