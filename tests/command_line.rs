//! Runs the subcommands of the binary and checks their output and exit status.

use std::path::PathBuf;
use std::process::{
    Command,
    Output, //
};

fn medlarproxy(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_medlarproxy"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap()
}

fn empty_directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // The directory may be left over from an earlier run, or may not exist.
    let _result = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    succeeds: bool,
    /// Part of the standard output or, on failure, of the standard error.
    expected_text: &'static str,
}

#[test]
fn commands_accept_valid_documents_and_report_the_error_in_invalid_ones() {
    let cases = [
        Case {
            name: "valid settings",
            arguments: &["check", "settings", "examples/adinkra/entry-accra-1.yaml"],
            succeeds: true,
            expected_text: "settings of entry-accra-1",
        },
        Case {
            name: "valid sheet",
            arguments: &["check", "sheet", "examples/letkupalvelu/sheet.yaml"],
            succeeds: true,
            expected_text: "sheet version 1",
        },
        Case {
            name: "a sheet as settings",
            arguments: &["check", "settings", "examples/adinkra/sheet.yaml"],
            succeeds: false,
            expected_text: "examples/adinkra/sheet.yaml: unknown field `version`",
        },
        Case {
            name: "no such file",
            arguments: &["check", "sheet", "examples/none.yaml"],
            succeeds: false,
            expected_text: "examples/none.yaml: cannot be read",
        },
        Case {
            name: "a sheet as its own successor",
            arguments: &[
                "check",
                "sheet",
                "examples/adinkra/sheet.yaml",
                "--after",
                "examples/adinkra/sheet.yaml",
            ],
            succeeds: false,
            expected_text: "version: 1 is not allowed, expected more than 1",
        },
        Case {
            name: "an agent with an entry's settings",
            arguments: &["agent", "examples/adinkra/entry-accra-1.yaml"],
            succeeds: false,
            expected_text: "no section for this role",
        },
        Case {
            name: "an unknown value of a switch",
            arguments: &["platform", "entry", "--learn-capacity", "maybe"],
            succeeds: false,
            expected_text: "'--learn-capacity' with value 'maybe': \"maybe\" is not allowed, expected on or off",
        },
        Case {
            name: "a share that is no number",
            arguments: &["platform", "agent", "--min-learned-share", "nan"],
            succeeds: false,
            expected_text: "expected a number from 0.0 to 1.0",
        },
        Case {
            name: "a share above one",
            arguments: &["platform", "entry", "--min-learned-share", "1.5"],
            succeeds: false,
            expected_text: "'--min-learned-share' with value '1.5': \"1.5\" is not allowed",
        },
        Case {
            name: "a folder without sheets",
            arguments: &["audit", "--sheets", "src"],
            succeeds: false,
            expected_text: "src: holds no sheet",
        },
    ];
    for case in cases {
        let output = medlarproxy(case.arguments);
        let text = String::from_utf8_lossy(if case.succeeds {
            &output.stdout
        } else {
            &output.stderr
        });
        assert_eq!(
            output.status.success(),
            case.succeeds,
            "{}: {text}",
            case.name
        );
        assert!(text.contains(case.expected_text), "{}: {text}", case.name);
    }
}

#[test]
fn pack_writes_an_index_and_its_sections() {
    let out = empty_directory("pack");
    let path = out.to_str().unwrap();
    let output = medlarproxy(&["pack", "examples/adinkra/sheet.yaml", "--out", path]);
    assert!(output.status.success());
    let text = std::fs::read(out.join("index")).unwrap();
    let index = sheet::Index::parse(&text).unwrap();
    for digest in index.sections.values() {
        let section = std::fs::read(out.join("sections").join(digest.to_string())).unwrap();
        assert_eq!(utils::digest::Digest::of(&section), *digest);
    }
}

#[test]
fn demo_updates_every_target_and_the_audit_detects_an_edited_record() {
    let out = empty_directory("demo");
    let record = out.join("record.jsonl");
    let sheets = out.join("sheets");
    let output = medlarproxy(&[
        "demo",
        "--once",
        "--json",
        "--targets",
        "6",
        "--record",
        record.to_str().unwrap(),
        "--sheets",
        sheets.to_str().unwrap(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    let last = text.lines().last().unwrap();
    let summary: serde_json::Value = serde_json::from_str(last).unwrap();
    assert_eq!(summary["replicas_wanted"], 6);
    assert_eq!(summary["replicas_ready"], 6);
    assert_eq!(summary["mixed"], 0);
    assert_eq!(summary["failed"], 0);
    assert!(summary["answered"].as_u64() > Some(0));

    let sheets = sheets.to_str().unwrap();
    let audit = medlarproxy(&["audit", "--sheets", sheets, record.to_str().unwrap()]);
    let text = String::from_utf8_lossy(&audit.stdout);
    assert!(audit.status.success(), "{text}");

    let lines = std::fs::read_to_string(&record).unwrap();
    let edited = lines.replacen("\"attempt\":1", "\"attempt\":2", 1);
    assert_ne!(edited, lines);
    std::fs::write(&record, edited).unwrap();
    let audit = medlarproxy(&["audit", "--sheets", sheets, record.to_str().unwrap()]);
    assert!(!audit.status.success());
}
