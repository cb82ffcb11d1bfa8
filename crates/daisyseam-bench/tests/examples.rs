//! The example documents are valid and of the brief's sizes.

use daisyseam_model::document::Document;
use test_case::test_case;

#[test_case(include_str!("../../../examples/shellrest.toml"); "shellrest")]
#[test_case(include_str!("../../../examples/brandvold.toml"); "brandvold")]
fn an_example_has_the_sizes_of_the_brief(text: &str) {
    let (document, problems) = Document::check(text);
    assert_eq!(problems, Vec::new());
    let document = document.expect("there is a document");
    assert_eq!(document.data_centres.len(), 3);
    assert_eq!(document.regions.len(), 3);
    assert_eq!(document.services.len(), 3);
    assert_eq!(document.organisations.len(), 8);
    for group in document.groups.values() {
        assert_eq!((group.databases, group.slots), (3, 5));
    }
}
