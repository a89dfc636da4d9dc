//! Which settings are refused, and with what place and cause.

use std::path::{
    Path,
    PathBuf, //
};

const ENTRY: &str = "
instance: entry-1
data_centre: accra-a
peer_address: 127.0.0.1:7101
configuration_service: 127.0.0.1:7001
instance_list: 127.0.0.1:7002
entry:
  caller_address: 127.0.0.1:7100
";

const AGENT: &str = "
instance: draft-1
data_centre: accra-a
peer_address: 127.0.0.1:7101
configuration_service: 127.0.0.1:7001
instance_list: 127.0.0.1:7002
agent:
  target: 127.0.0.1:7200
  weights:
    fetches: 8
";

struct Case {
    name: &'static str,
    base: &'static str,
    from: &'static str,
    to: &'static str,
    says: &'static [&'static str],
}

#[test]
fn bad_settings_are_refused_with_file_field_value_and_what_is_allowed() {
    let cases = [
        Case {
            name: "unknown field",
            base: ENTRY,
            from: "instance:",
            to: "instanse:",
            says: &["unknown field `instanse`", "line"],
        },
        Case {
            name: "missing field",
            base: ENTRY,
            from: "data_centre: accra-a\n",
            to: "",
            says: &["missing field `data_centre`"],
        },
        Case {
            name: "not an address",
            base: ENTRY,
            from: "127.0.0.1:7001",
            to: "localhost",
            says: &["configuration_service", "line 5"],
        },
        Case {
            name: "empty name",
            base: ENTRY,
            from: "instance: entry-1",
            to: "instance: \"\"",
            says: &["instance", "a name that is not empty"],
        },
        Case {
            name: "level",
            base: ENTRY,
            from: "entry:",
            to: "log: {level: loud}\nentry:",
            says: &["log.level", "loud", "error, warn, info, debug or trace"],
        },
        Case {
            name: "threads",
            base: ENTRY,
            from: "entry:",
            to: "traffic_threads: 0\nentry:",
            says: &["traffic_threads", "0", "1 to 256"],
        },
        Case {
            name: "pause below the tick",
            base: ENTRY,
            from: "entry:",
            to: "pause: 30ms\nentry:",
            says: &["pause", "30ms", "more than twice the tick"],
        },
        Case {
            name: "body limit",
            base: ENTRY,
            from: "entry:\n",
            to: "entry:\n  body_limit_bytes: 99999999\n",
            says: &["entry.body_limit_bytes", "99999999", "8388608"],
        },
        Case {
            name: "deadlines crossed",
            base: ENTRY,
            from: "entry:\n",
            to: "entry:\n  longest_timeout: 1s\n",
            says: &["entry.longest_timeout", "1s", "at least request_timeout"],
        },
        Case {
            name: "no role",
            base: ENTRY,
            from: "entry:\n  caller_address: 127.0.0.1:7100\n",
            to: "",
            says: &["entry", "one of entry and agent"],
        },
        Case {
            name: "two roles",
            base: ENTRY,
            from: "entry:\n",
            to: "agent: {target: 127.0.0.1:7200}\nentry:\n",
            says: &["agent", "only one of entry and agent"],
        },
        Case {
            name: "no fetches",
            base: AGENT,
            from: "fetches: 8",
            to: "fetches: 0",
            says: &["agent.weights.fetches", "0", "1 to 1024"],
        },
        Case {
            name: "rate",
            base: AGENT,
            from: "  weights:",
            to: "  links: {region_bytes_per_second: -1}\n  weights:",
            says: &["agent.links.region_bytes_per_second", "-1", "1 or more"],
        },
        Case {
            name: "a time of nothing",
            base: AGENT,
            from: "  weights:",
            to: "  queue_time: 0s\n  weights:",
            says: &["agent.queue_time", "0s", "1ms to 1day"],
        },
    ];
    let file = Path::new("the-file.yaml");
    for case in cases {
        assert!(settings::parse(file, case.base).is_ok(), "{}", case.name);
        let text = case.base.replacen(case.from, case.to, 1);
        assert_ne!(text, case.base, "{}: nothing replaced", case.name);
        let error = settings::parse(file, &text).unwrap_err().to_string();
        assert!(
            error.starts_with("the-file.yaml: "),
            "{}: {error}",
            case.name
        );
        for words in case.says {
            assert!(error.contains(words), "{}: {error}", case.name);
        }
    }
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = settings::load(Path::new("no-such-file.yaml")).unwrap_err();
    assert!(error
        .to_string()
        .starts_with("no-such-file.yaml: cannot be read"));
}

#[test]
fn every_example_is_accepted() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let (mut settings_count, mut sheet_count) = (0, 0);
    for deployment in std::fs::read_dir(root).unwrap() {
        for file in std::fs::read_dir(deployment.unwrap().path()).unwrap() {
            let path = file.unwrap().path();
            if path.file_name().is_some_and(|name| name == "sheet.yaml") {
                let text = std::fs::read_to_string(&path).unwrap();
                sheet::parse(&text).unwrap();
                sheet_count += 1;
            } else {
                settings::load(&path).unwrap();
                settings_count += 1;
            }
        }
    }
    assert_eq!((settings_count, sheet_count), (5, 2));
}
