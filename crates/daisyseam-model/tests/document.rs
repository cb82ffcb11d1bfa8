//! The validation of documents: every problem at once, with its place.

use daisyseam_model::document::{
    CommitPolicy,
    DOCUMENT_BYTES_MAX,
    Document,
    Problem,
    ReadCosts,
    Severity, //
};
use proptest::prelude::*;
use std::time::{
    Duration,
    Instant, //
};
use test_case::test_case;

const SOUND: &str = r#"number = 1
cluster = "shellrest"

[[region]]
name = "khomas"

[[data_centre]]
name = "khomas-1"
region = "khomas"

[[group]]
name = "bookings-db"
databases = 3
slots = 5

[[service]]
name = "bookings"
group = "bookings-db"

[[organisation]]
name = "swakop-boarding"
rate = 50
burst = 100

[[organisation.key]]
hash = "sha256:0000000000000000000000000000000000000000000000000000000000000001"
"#;

fn errors(text: &str) -> Vec<Problem> {
    Document::parse(text).expect_err("the document has errors")
}

#[test]
fn a_sound_document_is_read_without_a_problem() {
    let (document, problems) = Document::check(SOUND);
    assert_eq!(problems, Vec::new());
    let document = document.expect("there is a document");
    assert_eq!(document.organisations["swakop-boarding"].burst, 100.0);
    assert_eq!(document.groups["bookings-db"].slots, 5);
}

/// A penalty that is read under another name or unit would send reads out of their data centre.
#[test]
fn costs_of_reads_are_read_from_the_limits() {
    let (document, _) = Document::check(SOUND);
    let costs = document.expect("there is a document").limits.reads;
    assert_eq!(costs, ReadCosts::default());
    let limits = "[limits]\nregion_round_trip_ms = 1\nfar_round_trip_ms = 2\n\
        read_leave_data_centre_ms = 3\nread_leave_region_ms = 4\nread_use_primary_ms = 5\n";
    let document = Document::parse(&format!("{SOUND}{limits}")).expect("a sound document");
    let expected = ReadCosts {
        region_round_trip: Duration::from_millis(1),
        far_round_trip: Duration::from_millis(2),
        leave_data_centre: Duration::from_millis(3),
        leave_region: Duration::from_millis(4),
        use_primary: Duration::from_millis(5),
    };
    assert_eq!(document.limits.reads, expected);
    let limits = "[limits]\nread_use_primary_ms = 60001\n";
    assert_eq!(errors(&format!("{SOUND}{limits}")).len(), 1);
}

#[test]
fn every_problem_is_listed_with_its_place() {
    let text = SOUND
        .replace("databases = 3", "databases = 0")
        .replace("rate = 50", "rate = 0")
        .replace("group = \"bookings-db\"", "group = \"missing\"")
        .replace("region = \"khomas\"\n", "region = \"Khomas!\"\n");
    let problems = errors(&text);
    let places: Vec<_> = problems.iter().map(|problem| problem.line).collect();
    assert_eq!(places, [9, 13, 18, 22], "{problems:?}");
    assert!(problems.iter().all(|problem| problem.column > 1));
}

#[test_case("cluster = \"shellrest\"", "cluster = 3", "text"; "a number for a name")]
#[test_case("burst = 100", "burst = 100\nshade = 1", "not known"; "an unknown key")]
#[test_case("databases = 3", "databases = 3\ncapacity = -1", "outside"; "a negative capacity")]
#[test_case("rate = 50", "rate = 50\nweight = 4294967296", "outside"; "a weight that overflows")]
#[test_case("sha256:00", "sha256:zz", "64 hexadecimal"; "a hash that is none")]
#[test_case("region = \"khomas\"\n", "region = \"khomas\"\nstate = \"out\"\n", "at least one"; "the last data centre taken out")]
#[test_case("group = \"bookings-db\"", "group = \"other\"", "not in the document"; "a group that is missing")]
#[test_case("group = \"bookings-db\"", "group = \"bookings-db\"\nconsistency = \"all\"", "\"bounded\""; "a consistency that is none")]
#[test_case("group = \"bookings-db\"", "group = \"bookings-db\"\nconsistency = \"bounded\"", "max_staleness_ms"; "a bounded service without a bound")]
#[test_case("group = \"bookings-db\"", "group = \"bookings-db\"\nstatement_timeout_ms = 0", "outside"; "a statement timeout of nothing")]
#[test_case("group = \"bookings-db\"", "group = \"bookings-db\"\npublic = 1", "true or false"; "a flag that is a number")]
#[test_case("databases = 3", "databases = 0", "outside"; "no databases though a majority confirms commits")]
fn a_wrong_value_is_an_error(from: &str, to: &str, words: &str) {
    let problems = errors(&SOUND.replace(from, to));
    assert!(
        problems
            .iter()
            .any(|problem| problem.severity == Severity::Error && problem.message.contains(words)),
        "{problems:?}"
    );
}

#[test]
fn a_group_that_acknowledges_by_replicas_needs_no_number_of_databases() {
    let text = SOUND.replace("databases = 3", "acknowledging_replicas = 1");
    let document = Document::parse(&text).expect("a sound document");
    let group = document.groups.values().next().expect("the group");
    assert_eq!(group.databases, 0);
    assert_eq!(group.commit, CommitPolicy::Replicas(1));
    assert_eq!(group.commit.copies(3), 2);
    assert_eq!(CommitPolicy::Majority.copies(5), 3);
}

#[test]
fn an_oversized_document_is_refused_before_it_is_read() {
    let text = "#".repeat(DOCUMENT_BYTES_MAX + 1);
    assert_eq!(errors(&text).len(), 1);
}

#[test_case("[", "]"; "arrays")]
#[test_case("{a=", "}"; "tables")]
fn a_deeply_nested_document_is_refused(open: &str, close: &str) {
    const DEPTH: usize = 20_000;
    let nested = format!("odd = {}1{}\n", open.repeat(DEPTH), close.repeat(DEPTH));
    assert!(!errors(&format!("{nested}{SOUND}")).is_empty());
}

#[test]
fn a_number_beyond_all_integers_is_an_error() {
    let text = SOUND.replace("slots = 5", "slots = 99999999999999999999999");
    assert_ne!(text, SOUND);
    assert!(!errors(&text).is_empty());
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in ".{0,400}") {
        let (document, problems) = Document::check(&text);
        let refused = problems.iter().any(|problem| problem.severity == Severity::Error);
        prop_assert_eq!(document.is_none(), refused);
    }

    #[test]
    fn a_damaged_document_never_panics(at in 0..SOUND.len(), byte in 0_u8..128) {
        let mut bytes = SOUND.as_bytes().to_vec();
        bytes[at] = byte;
        let text = String::from_utf8(bytes).expect("ASCII stays ASCII");
        let (document, problems) = Document::check(&text);
        let refused = problems.iter().any(|problem| problem.severity == Severity::Error);
        prop_assert_eq!(document.is_none(), refused);
    }
}

/// Returns the shortest of several times to check a document with this many services and organisations.
fn check_time(count: usize) -> Duration {
    let mut text = SOUND.to_owned();
    for number in 0..count {
        text.push_str(&format!(
            "\n[[service]]\nname = \"service-{number}\"\ngroup = \"bookings-db\"\n\
             \n[[organisation]]\nname = \"organisation-{number}\"\nrate = 5\nburst = 5\n"
        ));
    }
    let times = (0..5).map(|_| {
        let begin = Instant::now();
        assert!(Document::parse(&text).is_ok());
        begin.elapsed()
    });
    times.min().unwrap_or_default()
}

/// Guards against a control leader that spends its processor time on checking documents, since that grew
/// with organisations times services.
#[test]
fn the_time_to_check_a_document_grows_with_its_size() {
    const FACTOR: usize = 16;
    let (small, large) = (check_time(50), check_time(50 * FACTOR));
    let growth = large.as_secs_f64() / small.as_secs_f64();
    assert!(
        growth < 3.0 * FACTOR as f64,
        "{FACTOR} times the size takes {growth:.0} times as long"
    );
}
