//! Connections of entries, heartbeats and what they carry.

use crate::control::Control;
use crate::control::Event;
use crate::control::LinkKey;
use async_channel::Sender;
use dogwoodshunt_residency::Report;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_types::BootId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Beat;
use dogwoodshunt_wire::frame::Identity;
use slog::info;
use slog::warn;
use std::time::Duration;
use std::time::Instant;

/// Shortest time between two reports to an entry, however often the load changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Heartbeats of an entry that may fail to come before its connection is closed.
const MISSED_BEATS: u32 = 4;

/// One entry's connection.
pub(super) struct LinkState {
    pub(super) entry: Identity,
    tx: Sender<Frame>,
    heard: Instant,
    told: Instant,
    last_report: Option<Report>,
    number: u64,
    echo: u64,
}

impl Control {
    pub(super) fn on_link_up(&mut self, now: Instant, link: Link) {
        let Link { peer, tx, rx } = link;
        info!(self.around.log, "entry connected"; "entry" => %peer.node,
            "boot" => format!("{:016x}", peer.boot));
        self.close_older(now, &peer);
        let key = self.links.insert(LinkState {
            entry: peer,
            tx,
            heard: now,
            told: now,
            last_report: None,
            number: 0,
            echo: 0,
        });
        let events = self.around.events.clone();
        let receive = async move {
            while let Ok(frame) = rx.recv().await {
                if events
                    .send(Event::Frame { link: key, frame })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            let _ = events.send(Event::LinkDown(key)).await;
        };
        self.around.traffic.spawn(receive).detach();
        self.beat(now, key);
    }

    /// Closes older connections of the same entry.
    ///
    /// An entry that has started anew knows nothing of its earlier runs, whose
    /// connections to the engine ended with it.
    fn close_older(&mut self, now: Instant, entry: &Identity) {
        let same = |link: &LinkState| link.entry.node == entry.node;
        let older: Vec<(LinkKey, BootId)> = self
            .links
            .iter()
            .filter(|(_, link)| same(link))
            .map(|(key, link)| (key, link.entry.boot))
            .collect();
        for (key, boot) in older {
            self.on_link_down(now, key);
            if boot != entry.boot {
                self.release_boot(now, boot);
            }
        }
    }

    pub(super) fn on_link_down(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.remove(key) else {
            return;
        };
        warn!(self.around.log, "entry lost"; "entry" => %link.entry.node);
        link.tx.close();
        self.abandon_runs(now, link.entry.boot);
    }

    pub(super) fn on_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        link.heard = now;
        match frame {
            Frame::Admit(admit) => self.on_admit(now, key, *admit),
            Frame::Beat(beat) => link.echo = beat.number,
            Frame::Cancel { request } => self.on_cancel(now, request),
            Frame::Done {
                request,
                adapter_missing,
            } => self.on_done(now, request, adapter_missing),
            Frame::FirstByte { request } => self.on_first_byte(now, request),
            Frame::Terms(terms) => self.on_terms(now, *terms),
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
            | Frame::NotRun { .. }
            | Frame::Pull { .. }
            | Frame::Resume { .. }
            | Frame::Snapshot { .. }
            | Frame::Submit(_)
            | Frame::Welcome { .. } => {
                warn!(self.around.log, "unexpected frame"; "entry" => %link.entry.node);
                self.on_link_down(now, key);
            }
        }
    }

    pub(super) fn send(&mut self, key: LinkKey, frame: Frame) {
        if let Some(link) = self.links.get(key) {
            // A closed connection is reported by its receiver.
            let _ = link.tx.try_send(frame);
        }
    }

    /// Sends heartbeats that are due, and closes connections that are silent.
    pub(super) fn beat_due(&mut self, now: Instant) {
        let report = self.residency.report(now);
        let mut due = Vec::new();
        let mut silent = Vec::new();
        for (key, link) in &self.links {
            let since = now.saturating_duration_since(link.told);
            let changed = link.last_report.as_ref() != Some(&report);
            if since >= self.heartbeat || (changed && since >= REPORT_INTERVAL) {
                due.push(key);
            }
            if now.saturating_duration_since(link.heard) >= self.heartbeat * MISSED_BEATS {
                silent.push(key);
            }
        }
        due.into_iter().for_each(|key| self.beat(now, key));
        silent
            .into_iter()
            .for_each(|key| self.on_link_down(now, key));
    }

    pub(super) fn beat_all(&mut self, now: Instant) {
        let keys: Vec<LinkKey> = self.links.keys().collect();
        keys.into_iter().for_each(|key| self.beat(now, key));
    }

    fn beat(&mut self, now: Instant, key: LinkKey) {
        let report = self.residency.report(now);
        let leaving = self.stopping.is_some();
        let epoch = self.engine_epoch();
        let entries = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        link.number += 1;
        link.told = now;
        let update = report.update_after(link.last_report.as_ref());
        link.last_report = Some(report);
        let beat = Beat {
            number: link.number,
            echo: link.echo,
            fresh: true,
            leaving,
            epoch,
            entries,
            report: Some(update),
            ..Beat::default()
        };
        self.send(key, Frame::Beat(Box::new(beat)));
    }
}
