//! Arguments and input files: malformed ones are reported, and none is ignored.

use fireflylug_cli::args::{Action, Command};
use fireflylug_cli::{CliError, ExitStatus, change_set};
use fireflylug_core::api::{ApiError, ErrorCode};
use fireflylug_core::ids::Version;
use rstest::rstest;
use serde_json::json;

fn parse(line: &str) -> Result<Command, CliError> {
    let args: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    Command::from_args(&args)
}

#[rstest]
#[case::no_command("")]
#[case::unknown_command("frobnicate")]
#[case::unknown_kind("get cluster")]
#[case::bad_name("get service Seat_Desk")]
#[case::bad_address("status --api nowhere")]
#[case::bad_form("status --output xml")]
#[case::option_of_another_command("status --wait")]
#[case::against_of_another_command("apply f.json --against current")]
#[case::limit_without_wait("apply f.json --wait-limit-s 3")]
#[case::bad_key("apply f.json --key a\u{e9}")]
fn wrong_arguments_end_with_the_usage_status(#[case] line: &str) {
    let error = parse(line).unwrap_err();

    assert_eq!(error.exit_status(), ExitStatus::Usage);
}

#[rstest]
fn options_stand_before_or_after_the_command() {
    let before = parse("--api 10.0.0.1:7312 --output json get services");
    let after = parse("get services --output json --api 10.0.0.1:7312");

    assert!(before.is_ok());
    assert_eq!(before, after);
}

#[rstest]
fn help_option_overrides_the_command() {
    let command = parse("apply --help").unwrap();

    assert_eq!(command.action, Action::Help);
}

#[rstest]
#[case::one_resource(r#"{"kind": "service", "name": "a"}"#, 1)]
#[case::list(r#"[{"kind": "service", "name": "a"}, {"kind": "service", "name": "b"}]"#, 2)]
#[case::change_set(r#"{"operations": [{"op": "delete", "resource": {}}]}"#, 1)]
fn input_becomes_one_change_set(#[case] text: &str, #[case] operations: usize) {
    let body = change_set("f.json", text, None).unwrap();

    assert_eq!(body["operations"].as_array().unwrap().len(), operations);
}

#[rstest]
fn expected_version_goes_with_the_resource() {
    let text = r#"{"kind": "service", "name": "a"}"#;

    let body = change_set("f.json", text, Some(Version(4))).unwrap();

    assert_eq!(body["operations"][0]["if_version"], json!(4));
}

#[rstest]
#[case::not_json("{", None, "f.json: not JSON")]
#[case::neither("7", None, "f.json: give a resource")]
#[case::version_of_two("[1, 2]", Some(Version(1)), "f.json: --if-version is for one resource")]
fn bad_input_is_named(
    #[case] text: &str,
    #[case] if_version: Option<Version>,
    #[case] expected: &str,
) {
    let error = change_set("f.json", text, if_version).unwrap_err();

    assert!(error.to_string().starts_with(expected), "{error}");
    assert_eq!(error.exit_status(), ExitStatus::Usage);
}

#[rstest]
#[case::conflict(ErrorCode::Conflict, ExitStatus::Refused)]
#[case::invalid(ErrorCode::Invalid, ExitStatus::Refused)]
#[case::open(ErrorCode::OutcomeUnknown, ExitStatus::Unknown)]
fn refusal_and_unknown_outcome_differ_in_status(
    #[case] code: ErrorCode,
    #[case] status: ExitStatus,
) {
    let error = CliError::Refused(ApiError::new(code, "x"));

    assert_eq!(error.exit_status(), status);
}

// Guards against keys of organisations in errors about input that is cut off or malformed.
#[rstest]
#[case::cut_off(r#"{"kind": "organisation", "keys": ["s3cret"#)]
#[case::bad_escape(r#"{"kind": "organisation", "keys": ["s3cret\q"]}"#)]
#[case::bare_key(r#""s3cret""#)]
#[case::no_quotes(r#"{"keys": [s3cret]}"#)]
fn an_error_about_input_does_not_quote_it(#[case] text: &str) {
    let input = change_set("f.json", text, None).unwrap_err();
    let current = fireflylug_cli::check::configuration("f.json", text).unwrap_err();

    assert!(!format!("{input} {current}").contains("s3cret"), "{input} {current}");
}
