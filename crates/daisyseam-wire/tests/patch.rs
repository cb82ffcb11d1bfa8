//! Document patches give back exactly the text they were made for.

use daisyseam_model::DocumentNumber;
use daisyseam_wire::{
    ConvertError,
    DocumentPatch, //
};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_patch_turns_the_old_text_into_the_new(old in "[aä\n]{0,30}", new in "[aä\n]{0,30}") {
        let patch = DocumentPatch::between(DocumentNumber(7), &old, &new);
        prop_assert_eq!(patch.apply(&old), Ok(new));
    }

    #[test]
    fn an_arbitrary_patch_never_panics(
        text in ".{0,20}",
        keep_head in any::<u64>(),
        keep_tail in 0_u64..40,
    ) {
        let patch = DocumentPatch { base: 1, keep_head, keep_tail, middle: String::new() };
        let applied = patch.apply(&text);
        prop_assert!(applied.is_ok() || applied == Err(ConvertError::Patch));
    }
}

#[test]
fn a_small_change_of_a_large_text_is_a_small_patch() {
    let old = "rate = 50\n".repeat(10_000);
    let mut new = old.clone();
    new.replace_range(50_007..50_009, "75");
    let patch = DocumentPatch::between(DocumentNumber(1), &old, &new);
    assert!(patch.middle.len() <= 2, "{}", patch.middle.len());
}
