//! Stand-in of the platform's host list, which shows changes with a delay.

use crate::serve::read_json;
use dogwoodshunt_border::generated::host_list::Host;
use dogwoodshunt_border::generated::host_list::HostList;
use dogwoodshunt_border::http::ResponseBody;
use dogwoodshunt_border::http::server;
use dogwoodshunt_border::http::server::Handler;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Stand-in of the host list.
#[derive(Debug)]
pub struct HostListStandin {
    lag: Duration,
    changes: Mutex<Vec<(Instant, Host)>>,
}

impl HostListStandin {
    /// Creates an empty host list that shows each change after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            changes: Mutex::new(Vec::new()),
        }
    }

    fn list(&self, now: Instant) -> HostList {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let mut hosts: Vec<Host> = Vec::new();
        for (changed_at, host) in changes.iter() {
            if now.saturating_duration_since(*changed_at) < self.lag {
                continue;
            }
            hosts.retain(|listed| listed.name != host.name);
            hosts.push(host.clone());
        }
        HostList { hosts }
    }
}

impl Handler for HostListStandin {
    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        match req.uri().path() {
            "/hosts" => server::json(200, &self.list(Instant::now())),
            "/standin/host" => match read_json::<Host>(req).await {
                Ok(host) => {
                    let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
                    changes.push((Instant::now(), host));
                    server::text(200, "ok")
                }
                Err(response) => response,
            },
            path => server::text(404, format!("no such path: {path}")),
        }
    }
}
