//! Connections of entries: received frames, and the heartbeats that carry load
//! reports to the entries.

use crate::control::Control;
use crate::control::Event;
use crate::control::LinkKey;
use crate::control::streams::StreamAnswer;
use async_channel::Sender;
use dogwoodshunt_residency::Report;
use dogwoodshunt_residency::report::ReportUpdate;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_types::BootId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use dogwoodshunt_wire::frame::Identity;
use slog::info;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// Minimum time between two load reports to an entry, however often the load
/// changes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of heartbeat intervals without a frame from an entry after which the
/// connection of the entry is closed.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Connection of one entry.
pub(super) struct LinkState {
    pub(super) entry: Identity,
    /// Position among the connected entries, in the order of their names.
    rank: u32,
    tx: Sender<Frame>,
    last_received_at: Instant,
    last_heartbeat_sent_at: Instant,
    /// When the last frame with a report was sent.
    last_report_sent_at: Instant,
    last_report: Option<Arc<Report>>,
    /// Number of the last record of a crash that was sent.
    sent_crash_number: u64,
    /// Number of the last observation of a request that was sent.
    sent_request_number: u64,
    sent_heartbeat_number: u64,
    received_heartbeat_number: u64,
}

impl Control {
    pub(super) fn on_entry_connected(&mut self, now: Instant, link: Link) {
        let Link { peer, tx, rx } = link;
        info!(self.context.log, "entry connected"; "entry" => %peer.node,
            "boot" => format!("{:016x}", peer.boot));
        self.close_earlier_links(now, &peer);
        let key = self.links.insert(LinkState {
            entry: peer,
            rank: 0,
            tx,
            last_received_at: now,
            last_heartbeat_sent_at: now,
            last_report_sent_at: now,
            last_report: None,
            sent_crash_number: 0,
            sent_request_number: 0,
            sent_heartbeat_number: 0,
            received_heartbeat_number: 0,
        });
        self.rank_entries();
        let events_tx = self.context.events_tx.clone();
        let forward_frames = async move {
            while let Ok(frame) = rx.recv().await {
                if events_tx
                    .send(Event::Frame { link: key, frame })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            let _ = events_tx.send(Event::EntryDisconnected(key)).await;
        };
        self.context.traffic.spawn(forward_frames).detach();
        let report = Arc::new(self.scheduler.report(now));
        self.send_heartbeat(now, key, &report, StreamAnswer::default());
    }

    /// Numbers the connected entries in the order of their names.
    fn rank_entries(&mut self) {
        let mut links: Vec<&mut LinkState> = self.links.values_mut().collect();
        links.sort_unstable_by(|a, b| a.entry.node.cmp(&b.entry.node));
        for (link, rank) in links.into_iter().zip(0..) {
            link.rank = rank;
        }
    }

    /// Closes earlier connections of the same entry.
    ///
    /// If the entry has restarted, the runs of the earlier process end as well, since
    /// their connections to the engine closed when that process exited.
    fn close_earlier_links(&mut self, now: Instant, entry: &Identity) {
        let same_node = |link: &LinkState| link.entry.node == entry.node;
        let earlier: Vec<(LinkKey, BootId)> = self
            .links
            .iter()
            .filter(|(_, link)| same_node(link))
            .map(|(key, link)| (key, link.entry.boot))
            .collect();
        for (key, boot) in earlier {
            self.on_entry_disconnected(now, key);
            if boot != entry.boot {
                self.end_runs_of_boot(now, boot);
            }
        }
    }

    pub(super) fn on_entry_disconnected(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.remove(key) else {
            return;
        };
        warn!(self.context.log, "entry disconnected"; "entry" => %link.entry.node);
        link.tx.close();
        self.quotas.on_entry_disconnected(now, key);
        self.rank_entries();
        self.mark_runs_disconnected(now, link.entry.boot);
    }

    pub(super) fn on_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        link.last_received_at = now;
        match frame {
            Frame::Admit(admit) => self.on_admit(now, key, *admit),
            Frame::Heartbeat(heartbeat) => {
                link.received_heartbeat_number = heartbeat.number;
                if let Some(seen) = heartbeat.rate_limit {
                    self.on_observed_limit(now, seen);
                }
                self.on_request_observations(now, heartbeat.requests);
                self.on_streams(now, key, heartbeat.stream_origins, &heartbeat.asked_streams);
            }
            Frame::Cancel { request } => self.on_cancel(now, request),
            Frame::Done {
                request,
                adapter_missing,
                broken_off,
            } => self.on_done(now, request, adapter_missing, broken_off),
            Frame::FirstByte { request } => self.on_first_byte(now, request),
            Frame::QuotaRequest(request) => self.on_quota_request(now, key, *request),
            Frame::UpstreamConfig(config) => self.on_upstream_config(now, *config),
            Frame::Ack { .. }
            | Frame::Admitted { .. }
            | Frame::Challenge(_)
            | Frame::Chunk { .. }
            | Frame::End { .. }
            | Frame::Entries { .. }
            | Frame::Failed { .. }
            | Frame::Grant { .. }
            | Frame::Head { .. }
            | Frame::Hello(_)
            | Frame::Load(_)
            | Frame::NotRun { .. }
            | Frame::Pull { .. }
            | Frame::QuotaGrant(_)
            | Frame::Resume { .. }
            | Frame::Snapshot { .. }
            | Frame::Submit(_)
            | Frame::Welcome { .. } => {
                warn!(self.context.log, "unexpected frame from entry; closing connection"; "entry" => %link.entry.node);
                self.on_entry_disconnected(now, key);
            }
        }
    }

    pub(super) fn send(&mut self, key: LinkKey, frame: Frame) {
        if let Some(link) = self.links.get(key) {
            // A failed send needs no handling here: the task that forwards the
            // received frames reports the end of the connection.
            let _ = link.tx.try_send(frame);
        }
    }

    /// Makes the next report on a connection a full one.
    pub(super) fn send_full_report_next(&mut self, key: LinkKey) {
        if let Some(link) = self.links.get_mut(key) {
            link.last_report = None;
        }
    }

    /// Sends heartbeats and changes of the report that are due, and closes connections
    /// on which nothing has arrived for [`MAX_MISSED_HEARTBEATS`] intervals.
    pub(super) fn send_due_heartbeats(&mut self, now: Instant) {
        let report = Arc::new(self.scheduler.report(now));
        let mut heartbeats_due = Vec::new();
        let mut changes_due = Vec::new();
        let mut timed_out = Vec::new();
        for (key, link) in &self.links {
            let since = |at: Instant| now.saturating_duration_since(at);
            let changed = link.last_report.as_ref() != Some(&report);
            if since(link.last_heartbeat_sent_at) >= self.heartbeat_interval {
                heartbeats_due.push(key);
            } else if changed && since(link.last_report_sent_at) >= MIN_REPORT_INTERVAL {
                changes_due.push(key);
            }
            if now.saturating_duration_since(link.last_received_at)
                >= self.heartbeat_interval * MAX_MISSED_HEARTBEATS
            {
                timed_out.push(key);
            }
        }
        heartbeats_due
            .into_iter()
            .for_each(|key| self.send_heartbeat(now, key, &report, StreamAnswer::default()));
        changes_due
            .into_iter()
            .for_each(|key| self.send_report_changes(now, key, &report));
        timed_out
            .into_iter()
            .for_each(|key| self.on_entry_disconnected(now, key));
    }

    pub(super) fn send_all_heartbeats(&mut self, now: Instant) {
        let report = Arc::new(self.scheduler.report(now));
        let keys: Vec<LinkKey> = self.links.keys().collect();
        keys.into_iter()
            .for_each(|key| self.send_heartbeat(now, key, &report, StreamAnswer::default()));
    }

    /// Sends the changes of the report since the last one on a connection; a change
    /// that needs a full report goes with a heartbeat.
    fn send_report_changes(&mut self, now: Instant, key: LinkKey, report: &Arc<Report>) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        match report.update_since(link.last_report.as_deref()) {
            ReportUpdate::Full(_) => {
                self.send_heartbeat(now, key, report, StreamAnswer::default());
            }
            ReportUpdate::Load(load) => {
                link.last_report_sent_at = now;
                link.last_report = Some(report.clone());
                self.send(key, Frame::Load(Box::new(load)));
            }
        }
    }

    pub(super) fn send_heartbeat(
        &mut self,
        now: Instant,
        key: LinkKey,
        report: &Arc<Report>,
        streams: StreamAnswer,
    ) {
        let leaving = self.stop_at.is_some();
        let epoch = self.fencing_token();
        let connected_entries = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        link.sent_heartbeat_number += 1;
        link.last_heartbeat_sent_at = now;
        link.last_report_sent_at = now;
        let (crashes, crash_number) = self.crash_log.records_after(now, link.sent_crash_number);
        link.sent_crash_number = crash_number;
        let (requests, request_number) = self.request_log.after(now, link.sent_request_number);
        link.sent_request_number = request_number;
        let update = report.update_since(link.last_report.as_deref());
        link.last_report = Some(report.clone());
        let heartbeat = Heartbeat {
            number: link.sent_heartbeat_number,
            echo: link.received_heartbeat_number,
            fresh: true,
            leaving,
            epoch,
            crashes,
            requests,
            connected_entries,
            entry_rank: Some(link.rank),
            stream_origins: streams.known,
            unknown_streams: streams.unknown,
            report: Some(update),
            ..Heartbeat::default()
        };
        self.send(key, Frame::Heartbeat(Box::new(heartbeat)));
    }
}
