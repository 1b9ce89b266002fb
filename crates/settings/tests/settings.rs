//! Settings files: every mistake is reported with its line, and valid settings
//! survive a round trip.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use fireflylug_core::ids::{Locality, Name};
use fireflylug_settings::{Advertise, ControlSection, LogLevel, Settings};
use rstest::rstest;

const HOST: &str = "[host]\nname = aluva-1\nregion = kochi\navailability_zone = kochi-aluva\n";

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn findings(text: &str) -> Vec<String> {
    let checked = Settings::from_ini(text, Path::new("/etc/fireflylug"));
    checked.unwrap_err().iter().map(ToString::to_string).collect()
}

/// Returns settings with non-default values in most sections.
fn full() -> Settings {
    let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
    let control = ControlSection {
        data_dir: PathBuf::from("/var/lib/fireflylug"),
        initial_voters: vec![name("aluva-1"), name("mavoor-1"), name("feroke-1")],
    };
    let mut settings = Settings::loopback(name("aluva-1"), locality)
        .with_seeds(vec![address("10.0.0.2:7310"), address("[fd00::3]:7310")])
        .with_control(control);
    settings.listen.peers = address("10.0.0.1:7310");
    settings.advertise =
        Advertise { peers: Some(address("192.0.2.1:7310")), ..Advertise::default() };
    settings.key_file = Some(PathBuf::from("/etc/fireflylug/key"));
    settings.addresses_file = Some(PathBuf::from("/run/fireflylug/addresses.json"));
    settings.translate = vec![(address("10.1.0.1:7310"), address("127.0.0.1:9000"))];
    settings.log_level = LogLevel::Debug;
    settings.stop_limit_ms = 1_500;
    settings
}

#[rstest]
fn ten_mistakes_are_reported_together_with_their_lines() {
    let text = "\
stray = 1
[host]
name = Aluva
region = kochi
color = red
data_dir = data
[listen]
api = nowhere
calls = 10.0.0.1:7313
calls = 10.0.0.2:7313
[limits]
x = 1
[log]
level = loud
[stop]
limit_ms = soon
not a line
";

    let found = findings(text);

    let lines: Vec<&str> =
        found.iter().map(|finding| finding.split(": ").next().unwrap()).collect();
    let expected = [
        "line 1", "line 2", "line 3", "line 5", "line 6", "line 8", "line 9", "line 10", "line 11",
        "line 14", "line 16", "line 17",
    ];
    assert_eq!(lines, expected, "{found:#?}");
}

#[rstest]
#[case::zone_missing("[host]\nname = a\nregion = b\n", "[host] availability_zone: missing")]
#[case::proxy_with_log(
    "[host]\nname = a\nregion = b\navailability_zone = c\nrole = proxy\n[control]\ndata_dir = d\n",
    "line 5: [host] role: a proxy holds no log"
)]
#[case::control_without_log(
    "[host]\nname = a\nregion = b\navailability_zone = c\nrole = control\n",
    "line 5: [host] role: a control replica needs"
)]
#[case::control_without_folder(
    "[host]\nname = a\nregion = b\navailability_zone = c\n[control]\n",
    "line 5: [control] data_dir: missing"
)]
#[case::not_a_voter(
    "[host]\nname = a\nregion = b\navailability_zone = c\n[control]\ndata_dir = d\ninitial_voters = e, f\n",
    "line 7: [control] initial_voters: this host, a, is not among them"
)]
#[case::no_key(
    "[host]\nname = a\nregion = b\navailability_zone = c\n[listen]\npeers = 0.0.0.0:7310\n",
    "line 6: [listen] peers: an address that other hosts reach needs a shared key"
)]
#[case::one_port_twice(
    "[host]\nname = a\nregion = b\navailability_zone = c\n[listen]\napi = 127.0.0.1:7310\n",
    "line 6: [listen] api: 127.0.0.1:7310 is the address of peers already"
)]
fn a_mistake_is_named_with_its_remedy(#[case] text: &str, #[case] expected: &str) {
    let found = findings(text);

    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains(expected), "{found:#?}");
}

#[rstest]
fn paths_start_at_the_folder_of_the_file() {
    let text = format!("{HOST}[security]\nkey_file = mesh.key\n");

    let settings = Settings::from_ini(&text, Path::new("/etc/fireflylug")).unwrap();

    assert_eq!(settings.key_file, Some(PathBuf::from("/etc/fireflylug/mesh.key")));
}

#[rstest]
fn what_is_written_reads_back_the_same() {
    let settings = full();

    let read = Settings::from_ini(&settings.to_ini(), Path::new("/"));

    assert_eq!(read, Ok(settings));
}

#[rstest]
fn a_file_that_cannot_be_read_is_named() {
    let error = Settings::from_file(Path::new("/nonexistent/fireflylug.ini")).unwrap_err();

    assert!(error.to_string().contains("/nonexistent/fireflylug.ini"), "{error}");
}

/// Each concurrent large response delays the packets of all other responses. The
/// limit must keep that delay within a tenth of a second.
#[rstest]
#[case::users_size(8.4, 1)]
#[case::faster(50.0, 9)]
fn large_answers_under_way_at_once_fill_a_slow_link_for_a_tenth_of_a_second(
    #[case] link_mbps: f64,
    #[case] most: usize,
) {
    let mut settings = full();
    settings.link_mbps = Some(link_mbps);

    let bulk_limit = settings.bulk_limit().expect("the link is slow");

    assert_eq!(bulk_limit.link_bytes_per_s, (link_mbps * 125_000.0) as u64);
    assert!((1..=most).contains(&bulk_limit.max_concurrent), "{bulk_limit:?}");
}
