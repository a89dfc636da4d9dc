//! Rejection of invalid settings, with the file, field and cause in the error.

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
    document: &'static str,
    from: &'static str,
    to: &'static str,
    expected: &'static [&'static str],
}

#[test]
fn invalid_settings_are_rejected_with_file_field_value_and_allowed_values() {
    let cases = [
        Case {
            name: "unknown field",
            document: ENTRY,
            from: "instance:",
            to: "instanse:",
            expected: &["unknown field `instanse`", "line"],
        },
        Case {
            name: "missing field",
            document: ENTRY,
            from: "data_centre: accra-a\n",
            to: "",
            expected: &["missing field `data_centre`"],
        },
        Case {
            name: "not an address",
            document: ENTRY,
            from: "127.0.0.1:7001",
            to: "localhost",
            expected: &["configuration_service", "line 5"],
        },
        Case {
            name: "empty name",
            document: ENTRY,
            from: "instance: entry-1",
            to: "instance: \"\"",
            expected: &["instance", "a name that is not empty"],
        },
        Case {
            name: "unknown log level",
            document: ENTRY,
            from: "entry:",
            to: "log: {level: loud}\nentry:",
            expected: &["log.level", "loud", "error, warn, info, debug or trace"],
        },
        // It must not open the administration API to everybody.
        Case {
            name: "token file without a value",
            document: ENTRY,
            from: "entry:",
            to: "admin_token_file:\nentry:",
            expected: &["admin_token_file", "the path of a file"],
        },
        Case {
            name: "token file that is null",
            document: ENTRY,
            from: "entry:",
            to: "admin_token_file: null\nentry:",
            expected: &["admin_token_file", "the path of a file"],
        },
        Case {
            name: "zero threads",
            document: ENTRY,
            from: "entry:",
            to: "traffic_threads: 0\nentry:",
            expected: &["traffic_threads", "0", "1 to 256"],
        },
        Case {
            name: "pause below the tick",
            document: ENTRY,
            from: "entry:",
            to: "pause: 30ms\nentry:",
            expected: &["pause", "30ms", "more than twice the tick"],
        },
        Case {
            name: "body limit too large",
            document: ENTRY,
            from: "entry:\n",
            to: "entry:\n  body_limit_bytes: 99999999\n",
            expected: &["entry.body_limit_bytes", "99999999", "8388608"],
        },
        Case {
            name: "buffer limit below two bodies",
            document: ENTRY,
            from: "entry:\n",
            to: "entry:\n  buffer_limit_bytes: 5000000\n",
            expected: &["entry.buffer_limit_bytes", "5000000", "twice"],
        },
        Case {
            name: "longest timeout below the default",
            document: ENTRY,
            from: "entry:\n",
            to: "entry:\n  longest_timeout: 1s\n",
            expected: &["entry.longest_timeout", "1s", "at least request_timeout"],
        },
        Case {
            name: "no role",
            document: ENTRY,
            from: "entry:\n  caller_address: 127.0.0.1:7100\n",
            to: "",
            expected: &["entry", "one of entry and agent"],
        },
        Case {
            name: "two roles",
            document: ENTRY,
            from: "entry:\n",
            to: "agent: {target: 127.0.0.1:7200}\nentry:\n",
            expected: &["agent", "only one of entry and agent"],
        },
        Case {
            name: "zero fetches",
            document: AGENT,
            from: "fetches: 8",
            to: "fetches: 0",
            expected: &["agent.weights.fetches", "0", "1 to 1024"],
        },
        Case {
            name: "negative rate",
            document: AGENT,
            from: "  weights:",
            to: "  links: {region_bytes_per_second: -1}\n  weights:",
            expected: &["agent.links.region_bytes_per_second", "-1", "1 or more"],
        },
        Case {
            name: "zero duration",
            document: AGENT,
            from: "  weights:",
            to: "  queue_time: 0s\n  weights:",
            expected: &["agent.queue_time", "0s", "1ms to 1day"],
        },
    ];
    let file = Path::new("the-file.yaml");
    for case in cases {
        assert!(
            settings::parse(file, case.document).is_ok(),
            "{}",
            case.name
        );
        let text = case.document.replacen(case.from, case.to, 1);
        assert_ne!(
            text, case.document,
            "{}: the text to replace is missing",
            case.name
        );
        let error = settings::parse(file, &text).unwrap_err().to_string();
        assert!(
            error.starts_with("the-file.yaml: "),
            "{}: {error}",
            case.name
        );
        for text_part in case.expected {
            assert!(error.contains(text_part), "{}: {error}", case.name);
        }
    }
}

#[test]
fn missing_file_is_named_in_the_error() {
    let error = settings::load(Path::new("no-such-file.yaml")).unwrap_err();
    assert!(error
        .to_string()
        .starts_with("no-such-file.yaml: cannot be read"));
}

#[test]
fn all_examples_are_valid() {
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
