//! The link of a machine: connections that share its bandwidth, each getting the same part.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bytes that a connection sends before it is the next one's turn.
const PIECE_BYTES: usize = 4_096;

/// Bandwidth of a link in one direction.
pub struct Link {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(megabits_per_s: f64) -> Arc<Link> {
        Arc::new(Link {
            bytes_per_s: megabits_per_s * 1e6 / 8.0,
            free_at: Mutex::new(Instant::now()),
        })
    }

    /// Waits until `bytes` have passed. Turns are given in the order of the calls.
    fn pass(&self, bytes: usize) {
        let at = {
            let mut free_at = self.free_at.lock().unwrap();
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// Passes the connections to `from` on to `to`. What goes there takes the time of `up`, what comes
/// back that of `down`.
pub fn pass_on(from: SocketAddr, to: SocketAddr, up: &Arc<Link>, down: &Arc<Link>) {
    let listener = TcpListener::bind(from).expect("address of a machine");
    let (up, down) = (up.clone(), down.clone());
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            // Without a listener behind it, the connection is reset or closed at once.
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            let (up, down) = (up.clone(), down.clone());
            thread::spawn(move || relay(near, far, &up));
            thread::spawn(move || relay(far_back, near_back, &down));
        }
    });
}

fn relay(mut from: TcpStream, mut to: TcpStream, link: &Link) {
    let mut piece = [0; PIECE_BYTES];
    while let Ok(read) = from.read(&mut piece) {
        if read == 0 {
            break;
        }
        link.pass(read);
        if to.write_all(&piece[..read]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
