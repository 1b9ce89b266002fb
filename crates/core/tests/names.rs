//! Names keep their form.

use fireflylug_core::ids::Name;
use rstest::rstest;

#[rstest]
#[case::empty("", false)]
#[case::one("a", true)]
#[case::dash_first("-a", false)]
#[case::dash_last("a-", false)]
#[case::upper("Seatdesk", false)]
#[case::inner_dash("kochi-aluva", true)]
fn name_keeps_its_form(#[case] text: &str, #[case] in_form: bool) {
    let name = Name::new(text);

    assert_eq!(name.is_ok(), in_form);
}
