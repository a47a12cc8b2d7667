//! Link of a machine to the store: a proxy that passes no more bytes a second to the machine than its
//! link carries, over all connections together.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Link {
    pub address: SocketAddr,
    bytes_per_s: f64,
    /// When the link has passed all bytes so far.
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn start(target: SocketAddr, mbit_per_s: f64) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let link = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            bytes_per_s: mbit_per_s * 1e6 / 8.0,
            free_at: Mutex::new(Instant::now()),
        });
        let serving = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                for (from, to, is_limited) in [(&client, &server, false), (&server, &client, true)]
                {
                    let _ = from.set_nodelay(true);
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let link = serving.clone();
                        std::thread::spawn(move || link.forward(from, to, is_limited));
                    }
                }
            }
        });
        link
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_limited: bool) {
        let mut bytes = [0; 4 * 1024];
        loop {
            match from.read(&mut bytes) {
                Ok(count @ 1..) => {
                    if is_limited {
                        self.wait_for(count);
                    }
                    if to.write_all(&bytes[..count]).is_err() {
                        break;
                    }
                }
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits until the link has passed `count` more bytes.
    fn wait_for(&self, count: usize) {
        let passed_at = {
            let mut free_at = self.free_at.lock().unwrap();
            let from = (*free_at).max(Instant::now());
            *free_at = from + Duration::from_secs_f64(count as f64 / self.bytes_per_s);
            *free_at
        };
        std::thread::sleep(passed_at.saturating_duration_since(Instant::now()));
    }
}
