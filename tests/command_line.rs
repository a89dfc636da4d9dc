//! The command line as a person or program uses it.

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

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // Left over from an earlier run, or not there.
    let _cleared = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    works: bool,
    says: &'static str,
}

#[test]
fn checks_accept_good_documents_and_name_what_is_wrong_with_bad_ones() {
    let cases = [
        Case {
            name: "good settings",
            arguments: &["check", "settings", "examples/adinkra/entry-accra-1.yaml"],
            works: true,
            says: "settings of entry-accra-1",
        },
        Case {
            name: "good sheet",
            arguments: &["check", "sheet", "examples/letkupalvelu/sheet.yaml"],
            works: true,
            says: "sheet version 1",
        },
        Case {
            name: "a sheet as settings",
            arguments: &["check", "settings", "examples/adinkra/sheet.yaml"],
            works: false,
            says: "examples/adinkra/sheet.yaml: unknown field `version`",
        },
        Case {
            name: "no such file",
            arguments: &["check", "sheet", "examples/none.yaml"],
            works: false,
            says: "examples/none.yaml: cannot be read",
        },
        Case {
            name: "a sheet after itself",
            arguments: &[
                "check",
                "sheet",
                "examples/adinkra/sheet.yaml",
                "--after",
                "examples/adinkra/sheet.yaml",
            ],
            works: false,
            says: "version: 1 is not allowed, expected more than 1",
        },
        Case {
            name: "an agent with an entry's settings",
            arguments: &["agent", "examples/adinkra/entry-accra-1.yaml"],
            works: false,
            says: "no section for this role",
        },
        Case {
            name: "a folder without sheets",
            arguments: &["audit", "--sheets", "src"],
            works: false,
            says: "src: holds no sheet",
        },
    ];
    for case in cases {
        let output = medlarproxy(case.arguments);
        let text = String::from_utf8_lossy(if case.works {
            &output.stdout
        } else {
            &output.stderr
        });
        assert_eq!(output.status.success(), case.works, "{}: {text}", case.name);
        assert!(text.contains(case.says), "{}: {text}", case.name);
    }
}

#[test]
fn pack_writes_an_index_and_its_sections() {
    let out = folder("pack");
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
fn the_demo_brings_the_burst_to_every_replica_and_its_record_holds() {
    let out = folder("demo");
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
