//! Framing of requests and read-ahead, without a network.

use fireflylug_daemon::calls::pipeline::framing::{BodyFraming, Boundary, Framing};
use fireflylug_daemon::calls::pipeline::read_ahead::{MAX_READ_AHEAD_BYTES, ReadAhead};
use rstest::rstest;

const LOOK: &str = "GET /a HTTP/1.1\r\nhost: a\r\n\r\n";

/// Scans bytes in pieces. Returns each boundary with its position.
fn boundaries(bytes: &[u8], piece: usize) -> Vec<(usize, Boundary)> {
    let mut framing = Framing::new();
    let (mut found, mut position) = (Vec::new(), 0);
    for mut rest in bytes.chunks(piece) {
        while !rest.is_empty() {
            let (count, boundary) = framing.scan(rest);
            position += count;
            rest = &rest[count..];
            if !matches!(boundary, Boundary::Incomplete) {
                found.push((position, boundary));
            }
            if boundary == Boundary::Unframed {
                return found;
            }
        }
    }
    found
}

// Guards against framing that depends on how the bytes are divided into packets.
#[rstest]
#[case::one_at_a_time(1)]
#[case::seven_at_a_time(7)]
#[case::all_at_once(10_000)]
fn requests_end_at_the_same_bytes_however_they_arrive(#[case] piece: usize) {
    let requests = [
        "\r\nGET /a HTTP/1.1\r\nhost: a\r\n\r\n",
        "POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\n\r\n\r\nx",
        "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\n\r\n\r\n\r\n0\r\nt: u\r\n\r\n",
        "HEAD /d HTTP/1.1\ncontent-length: 0\nconnection: keep-alive\n\n",
    ];

    let found = boundaries(requests.concat().as_bytes(), piece);

    let expected_ends: Vec<usize> =
        (1..=requests.len()).map(|count| requests[..count].concat().len()).collect();
    let request_ends: Vec<usize> = found
        .iter()
        .filter(|(_, boundary)| match boundary {
            Boundary::Head(head) => head.body == BodyFraming::Absent,
            boundary => *boundary == Boundary::Body,
        })
        .map(|(position, _)| *position)
        .collect();
    assert_eq!(request_ends, expected_ends, "{found:?}");
    let heads: Vec<_> = found
        .iter()
        .filter_map(|(_, boundary)| match boundary {
            Boundary::Head(head) => Some((head.is_safe_method, head.body)),
            _ => None,
        })
        .collect();
    let expected = [
        (true, BodyFraming::Absent),
        (false, BodyFraming::Length(5)),
        (false, BodyFraming::Chunked),
        (true, BodyFraming::Absent),
    ];
    assert_eq!(heads, expected);
}

// Guards against a request that is started although the HTTP library takes its bytes for a part of
// another one, or does not read them.
#[rstest]
#[case::closes("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")]
#[case::http_10("GET / HTTP/1.0\r\n\r\n")]
#[case::upgrades("GET / HTTP/1.1\r\nUpgrade: x\r\n\r\n")]
#[case::two_lengths("GET / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n")]
#[case::signed_length("GET / HTTP/1.1\r\ncontent-length: +1\r\n\r\n")]
#[case::length_and_chunks(
    "GET / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[case::other_coding("GET / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n")]
#[case::chunk_size("PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n 4\r\n")]
#[case::chunk_end("PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nxyz\r\n")]
#[case::no_header("GET / HTTP/1.1\r\nhost\r\n\r\n")]
fn an_unusual_request_ends_framing(#[case] request: &str) {
    for piece in [1, 1_000] {
        let bytes = [LOOK, request, LOOK].concat();

        let found = boundaries(bytes.as_bytes(), piece);

        assert_eq!(found.last().map(|(_, boundary)| *boundary), Some(Boundary::Unframed));
        let heads = found.iter().filter(|(_, boundary)| matches!(boundary, Boundary::Head(_)));
        assert!(heads.count() <= 2, "{found:?}");
    }
}

fn receive(read_ahead: &mut ReadAhead, bytes: &str) -> String {
    let mut delivered = String::new();
    read_ahead.receive(bytes.as_bytes(), |part| {
        delivered.push_str(std::str::from_utf8(part).expect("text"));
    });
    delivered
}

fn buffered(read_ahead: &mut ReadAhead) -> String {
    let mut delivered = String::new();
    while read_ahead.deliver_buffered(10, |part| {
        delivered.push_str(std::str::from_utf8(part).expect("text"));
    }) {}
    delivered
}

fn early_numbers(read_ahead: &mut ReadAhead) -> Vec<u64> {
    std::iter::from_fn(|| read_ahead.next_early_head()).map(|head| head.number).collect()
}

#[test]
fn requests_behind_the_one_in_progress_are_held_back_until_their_turn() {
    let mut read_ahead = ReadAhead::new();

    let first = receive(&mut read_ahead, &LOOK.repeat(3));
    read_ahead.begin_turn();
    let early = early_numbers(&mut read_ahead);
    let during_the_turn = buffered(&mut read_ahead);
    read_ahead.end_turn();
    let second = buffered(&mut read_ahead);

    assert_eq!((first.as_str(), during_the_turn.as_str()), (LOOK, ""));
    assert_eq!(early, [1, 2]);
    assert_eq!(second, LOOK);
}

// Guards against a lookup that overtakes a change that its caller sent before.
#[rstest]
#[case::in_progress("POST /b HTTP/1.1\r\ncontent-length: 1\r\n\r\nx", &[], &[2])]
#[case::behind("GET /b HTTP/1.1\r\ncontent-length: 1\r\n\r\nx", &[1, 2], &[])]
fn no_request_behind_an_unsafe_one_is_started(
    #[case] first: &str,
    #[case] during_the_first: &[u64],
    #[case] after_it: &[u64],
) {
    let mut read_ahead = ReadAhead::new();

    receive(&mut read_ahead, &[first, LOOK, LOOK].concat());
    read_ahead.begin_turn();
    let during = early_numbers(&mut read_ahead);
    read_ahead.end_turn();
    buffered(&mut read_ahead);
    read_ahead.begin_turn();

    assert_eq!(during, during_the_first);
    assert_eq!(early_numbers(&mut read_ahead), after_it);
}

// Guards against a connection that waits for ever, because the HTTP library needs bytes that
// framing takes for the next request.
#[test]
fn a_difference_to_the_http_library_ends_framing() {
    let mut read_ahead = ReadAhead::new();

    receive(&mut read_ahead, &LOOK.repeat(2));
    read_ahead.check_framing();

    assert_eq!(buffered(&mut read_ahead), LOOK);
    assert_eq!(read_ahead.next_early_head(), None);
}

#[test]
fn a_connection_takes_little_memory() {
    let size = std::mem::size_of::<ReadAhead>();

    assert!(size <= 256, "{size}");
    assert_eq!(ReadAhead::new().free_bytes(), MAX_READ_AHEAD_BYTES);
}
