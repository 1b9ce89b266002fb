//! Clients that look up seats all the time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::config::SEAT_HOST;
use crate::deployment::Machine;
use crate::http;

/// Pause between two requests of one client.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);

/// Clients on some machines that look up seats, each request on a new connection.
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
}

impl Clients {
    /// Starts one client on each of these machines.
    pub fn start(machines: &[Machine]) -> Self {
        let mut clients = Self {
            is_stopped: Arc::default(),
            threads: Vec::new(),
            sent: Arc::default(),
            answered: Arc::default(),
        };
        for machine in machines {
            let (address, name) = (machine.outbound(), machine.name.clone());
            let is_stopped = Arc::clone(&clients.is_stopped);
            let (sent, answered) = (Arc::clone(&clients.sent), Arc::clone(&clients.answered));
            clients.threads.push(thread::spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    if look_up_seats(address, &format!("{name}-{number}")) {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(CLIENT_PAUSE);
                }
            }));
        }
        clients
    }

    /// Stops the clients. Returns the numbers of sent and of successful requests.
    pub fn stop(self) -> (u64, u64) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A client that panicked has sent nothing more.
            let _ = thread.join();
        }
        (self.sent.load(Ordering::SeqCst), self.answered.load(Ordering::SeqCst))
    }
}

/// Looks up seats once. Returns whether an endpoint answered with success.
pub fn look_up_seats(outbound: SocketAddr, request_id: &str) -> bool {
    let headers = [("Host", SEAT_HOST), ("Request-Id", request_id), ("Deadline-Ms", "5000")];
    let request = http::request("GET /seats/7", &headers, "");
    let answer = http::exchange(outbound, &request, Duration::from_secs(5));
    answer.is_ok_and(|answer| answer.status == 200 && answer.head.header("server-stamp").is_some())
}
