//! Collection of sheets whose messages are delayed, lost, duplicated and reordered.

use proptest::prelude::*;
use sheet::{
    pack,
    parse,
    OfferResult,
    PublishedSheet,
    Sheet,
    SheetCollector, //
};

/// A sheet whose sections all differ between versions, so that a mix of versions is detected.
fn sheet(version: u64, content: u64) -> Sheet {
    let text = format!(
        "{{version: {version}, published: 2026-12-03T06:00:00Z, origin_region: r, \
         data_centres: {{a: {{region: r, state: in}}}}, \
         teams: {{t{version}x{content}: {{share: 1}}}}, \
         services: {{s: {{limit: {version}, instances: {{a: [i{version}]}}}}}}, \
         leaving: [i{version}]}}"
    );
    parse(&text).unwrap()
}

#[derive(Clone, Debug)]
enum Message {
    Index(u64),
    Section(u64, usize),
    Garbage,
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        3 => (1_u64..6).prop_map(Message::Index),
        8 => (1_u64..6, 0_usize..4).prop_map(|(v, s)| Message::Section(v, s)),
        1 => Just(Message::Garbage),
    ]
}

fn deliver(
    collector: &mut SheetCollector,
    packed: &[PublishedSheet],
    message: &Message,
) -> OfferResult {
    match message {
        Message::Index(version) => collector.offer_index(&packed[*version as usize].index),
        Message::Section(version, section) => {
            let sections: Vec<_> = packed[*version as usize].sections.values().collect();
            collector.offer_section(sections[section % sections.len()])
        }
        Message::Garbage => collector.offer_index(b"version: [not a sheet"),
    }
}

proptest! {
    #[test]
    fn the_active_sheet_is_complete_and_its_version_never_decreases(
        messages in prop::collection::vec(message(), 0..200),
    ) {
        let packed: Vec<PublishedSheet> = (0..6).map(|v| pack(&sheet(v.max(1), 0))).collect();
        let mut collector = SheetCollector::default();
        let mut last = 0;
        for message in &messages {
            deliver(&mut collector, &packed, message);
            let version = collector.version();
            prop_assert!(version >= last);
            last = version;
            if let Some(found) = collector.sheet() {
                prop_assert_eq!(&**found, &sheet(version, 0));
            }
        }
    }

    #[test]
    fn the_newest_sheet_becomes_active_once_all_its_messages_arrive(
        messages in prop::collection::vec(message(), 0..60),
    ) {
        let packed: Vec<PublishedSheet> = (0..6).map(|v| pack(&sheet(v.max(1), 0))).collect();
        let mut collector = SheetCollector::default();
        for message in &messages {
            deliver(&mut collector, &packed, message);
        }
        deliver(&mut collector, &packed, &Message::Index(5));
        for section in 0..4 {
            deliver(&mut collector, &packed, &Message::Section(5, section));
        }
        prop_assert_eq!(collector.version(), 5);
    }
}

fn offer_sheet(collector: &mut SheetCollector, sheet: &Sheet) -> OfferResult {
    let packed = pack(sheet);
    let mut result = collector.offer_index(&packed.index);
    for text in packed.sections.values() {
        if matches!(result, OfferResult::SectionsMissing(_)) {
            result = collector.offer_section(text);
        }
    }
    result
}

#[test]
fn the_same_version_with_other_content_is_rejected_with_an_error() {
    let mut collector = SheetCollector::default();
    assert!(matches!(
        offer_sheet(&mut collector, &sheet(2, 0)),
        OfferResult::Activated(_)
    ));
    let result = offer_sheet(&mut collector, &sheet(2, 1));
    let OfferResult::Rejected(e) = result else {
        panic!("{result:?}");
    };
    assert!(e.to_string().contains("version 2"), "{e}");
    assert_eq!(**collector.sheet().unwrap(), sheet(2, 0));
}

#[test]
fn an_older_sheet_is_ignored_and_unchanged_sections_are_not_missing() {
    let mut collector = SheetCollector::default();
    offer_sheet(&mut collector, &sheet(3, 0));
    assert_eq!(
        offer_sheet(&mut collector, &sheet(2, 0)),
        OfferResult::Outdated
    );
    let mut next = sheet(3, 0);
    next.version = 4;
    next.leaving.clear();
    let result = collector.offer_index(&pack(&next).index);
    let OfferResult::SectionsMissing(missing) = result else {
        panic!("{result:?}");
    };
    assert_eq!(missing.len(), 1);
}

#[test]
fn a_sheet_with_an_invalid_section_leaves_the_active_sheet_unchanged() {
    let mut collector = SheetCollector::default();
    offer_sheet(&mut collector, &sheet(3, 0));
    let mut bad = sheet(4, 0);
    bad.teams.get_mut("t4x0").unwrap().share = 0;
    let result = offer_sheet(&mut collector, &bad);
    assert!(matches!(result, OfferResult::Rejected(_)), "{result:?}");
    assert_eq!(collector.version(), 3);
    assert!(collector.rejection().unwrap().to_string().contains("share"));
    assert!(matches!(
        offer_sheet(&mut collector, &sheet(5, 0)),
        OfferResult::Activated(_)
    ));
    assert_eq!(collector.rejection(), None);
}
