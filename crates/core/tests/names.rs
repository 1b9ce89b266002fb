//! Validation of names.

use fireflylug_core::ids::Name;
use rstest::rstest;

#[rstest]
#[case::empty("", false)]
#[case::one("a", true)]
#[case::dash_first("-a", false)]
#[case::dash_last("a-", false)]
#[case::upper("Seatdesk", false)]
#[case::inner_dash("kochi-aluva", true)]
fn name_is_validated(#[case] text: &str, #[case] is_valid: bool) {
    let name = Name::new(text);

    assert_eq!(name.is_ok(), is_valid);
}
