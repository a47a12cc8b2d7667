//! Connections of entries: heartbeats, replication of the catalogue and dispatch of
//! received frames.

use crate::control::Control;
use crate::control::ControlEvent;
use crate::control::LinkKey;
use async_channel::Sender;
use dogwoodshunt_replica::PeerKey;
use dogwoodshunt_residency::Report;
use dogwoodshunt_runtime::link::Link;
use dogwoodshunt_types::AdapterRef;
use dogwoodshunt_types::BootId;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::Heartbeat;
use slog::info;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Maximum interval between two reports of peer states to an entry. Well below the
/// time after which an entry that is not reported no longer counts as live.
const PEER_STATES_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two reports of peer states to an entry.
const MIN_PEER_STATES_INTERVAL: Duration = Duration::from_millis(100);

/// Connection of one entry.
pub(super) struct LinkState {
    pub(super) entry_boot: BootId,
    pub(super) peer: PeerKey,
    pub(super) tx: Sender<Frame>,
    pub(super) is_granter: bool,
    last_report: Option<Report>,
    next_peer_states_at: Instant,
}

impl Control {
    pub(super) fn on_entry_connected(&mut self, now: Instant, link: Link) {
        let Link { peer, tx, rx } = link;
        info!(self.context.log, "entry connected"; "entry" => %peer.node);
        self.close_earlier_links(now, peer.boot);
        let entry_boot = peer.boot;
        let peer = self.replica.add_peer(peer);
        let key = self.links.insert(LinkState {
            entry_boot,
            peer,
            tx,
            is_granter: false,
            last_report: None,
            next_peer_states_at: now,
        });
        let events = self.context.events.clone();
        let receive = async move {
            while let Ok(frame) = rx.recv().await {
                if events
                    .send(ControlEvent::Frame { link: key, frame })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            let _ = events
                .send(ControlEvent::EntryDisconnected { link: key })
                .await;
        };
        self.context.traffic.spawn(receive).detach();
        self.send_heartbeat(now, key);
    }

    /// Closes earlier connections of the same boot of an entry.
    ///
    /// Frames that still arrive on them are ignored. A request that the agent reports
    /// as not run on the new connection can therefore not arrive and run later.
    fn close_earlier_links(&mut self, now: Instant, entry_boot: BootId) {
        let earlier_links: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, link)| link.entry_boot == entry_boot)
            .map(|(key, _)| key)
            .collect();
        for key in earlier_links {
            self.on_entry_disconnected(now, key);
        }
    }

    pub(super) fn on_entry_disconnected(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.remove(key) else {
            return;
        };
        link.tx.close();
        self.replica.remove_peer(link.peer);
        self.detach_requests(now, key);
    }

    pub(super) fn on_frame(&mut self, now: Instant, key: LinkKey, frame: Frame) {
        let Some(peer) = self.links.get(key).map(|link| link.peer) else {
            return;
        };
        match frame {
            Frame::Ack { request, next } => self.on_ack(now, request, next),
            Frame::Heartbeat(beat) => {
                let previous_revision = self.replica.peer(peer).map(|peer| peer.revision);
                let reply = self.replica.on_heartbeat(now, peer, &beat);
                self.send_frames(key, reply);
                // The next tick reports the new revision of this entry to the other entries.
                self.peer_states_changed |=
                    self.replica.peer(peer).map(|peer| peer.revision) != previous_revision;
                if let Some(link) = self.links.get_mut(key) {
                    link.is_granter = beat.granter;
                }
                if beat.granter {
                    self.scheduler.budget_mut().on_granter_message(now);
                }
                if beat.echo == 0 {
                    // The entry has just connected; echoing its first heartbeat at once makes its
                    // catalogue fresh.
                    self.send_heartbeat(now, key);
                }
            }
            Frame::Cancel { request } => self.on_cancel(now, request),
            Frame::Entries { entries } => {
                if self.replica.on_entries(Some(peer), &entries) {
                    self.on_catalogue_changed(now);
                }
            }
            Frame::Grant { adapter, valid_for } => {
                let until = now + valid_for;
                self.scheduler.budget_mut().on_grant(now, adapter, until);
            }
            Frame::Pull { after } => {
                let reply = self.replica.on_pull(after);
                self.send_frames(key, reply);
            }
            Frame::Resume {
                request,
                next,
                has_head,
            } => self.on_resume(now, key, request, next, has_head),
            Frame::Snapshot { shard } => {
                if self.replica.on_snapshot_shard(peer, *shard) {
                    self.on_catalogue_changed(now);
                }
            }
            Frame::Submit(submit) => self.on_submit(now, key, *submit),
            Frame::Admit(_)
            | Frame::Admitted { .. }
            | Frame::Challenge(_)
            | Frame::Chunk { .. }
            | Frame::Done { .. }
            | Frame::End { .. }
            | Frame::Failed { .. }
            | Frame::FirstByte { .. }
            | Frame::Head { .. }
            | Frame::Hello(_)
            | Frame::NotRun { .. }
            | Frame::UpstreamConfig(_)
            | Frame::Welcome { .. } => self.on_entry_disconnected(now, key),
        }
    }

    pub(super) fn send_all_heartbeats(&mut self, now: Instant) {
        let keys: Vec<LinkKey> = self.links.keys().collect();
        for key in keys {
            self.send_heartbeat(now, key);
        }
    }

    /// Sends a heartbeat to the granters at once when the scheduler wants to load an
    /// adapter that it did not want at the previous call.
    pub(super) fn notify_granters(&mut self, now: Instant) {
        let pending_loads = self.scheduler.pending_loads(now);
        let wanted_loads: HashSet<AdapterRef> = pending_loads
            .into_iter()
            .map(|pending_load| pending_load.adapter)
            .collect();
        let is_new = !wanted_loads.is_subset(&self.announced_loads);
        self.announced_loads = wanted_loads;
        if !is_new {
            return;
        }
        let granters = self.links.iter().filter(|(_, link)| link.is_granter);
        let granters: Vec<LinkKey> = granters.map(|(key, _)| key).collect();
        for key in granters {
            self.send_heartbeat(now, key);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, key: LinkKey) {
        let Some(link) = self.links.get_mut(key) else {
            return;
        };
        let Some(beat) = self.replica.next_heartbeat(now, link.peer) else {
            return;
        };
        let report = self.scheduler.report(now);
        let report_update = report.update_since(link.last_report.as_ref());
        link.last_report = Some(report);
        let mut peers = Vec::new();
        if link.next_peer_states_at <= now {
            link.next_peer_states_at = now + PEER_STATES_INTERVAL;
            peers = self.replica.peer_states();
        }
        let beat = Heartbeat {
            leaving: self.scheduler.is_leaving(),
            empty: self.scheduler.is_empty(),
            epoch: self.epoch,
            report: Some(report_update),
            peers,
            ..beat
        };
        self.send_frames(key, [Frame::Heartbeat(Box::new(beat))]);
    }

    pub(super) fn send_frames(&self, key: LinkKey, frames: impl IntoIterator<Item = Frame>) {
        let Some(link) = self.links.get(key) else {
            return;
        };
        for frame in frames {
            // The receiving task reports a closed link.
            let _ = link.tx.try_send(frame);
        }
    }

    /// Forwards a changed catalogue to lagging peers and applies it to the scheduler.
    pub(super) fn on_catalogue_changed(&mut self, now: Instant) {
        let revision = self.replica.catalogue().revision();
        info!(self.context.log, "catalogue"; "revision" => revision);
        for (peer, frame) in self.replica.updates_for_lagging_peers() {
            let link = self.links.iter().find(|(_, link)| link.peer == peer);
            if let Some((key, _)) = link {
                self.send_frames(key, [frame]);
            }
        }
        self.apply_planned_stops(now);
        self.preload_new_versions();
        self.peer_states_changed = true;
        self.send_all_heartbeats(now);
    }

    /// Reports the peer states to all entries if one has changed, at most once per
    /// [`MIN_PEER_STATES_INTERVAL`].
    pub(super) fn send_peer_states(&mut self, now: Instant) {
        if !self.peer_states_changed || self.next_peer_update_at > now {
            return;
        }
        self.peer_states_changed = false;
        self.next_peer_update_at = now + MIN_PEER_STATES_INTERVAL;
        for link in self.links.values_mut() {
            link.next_peer_states_at = now;
        }
        self.send_all_heartbeats(now);
    }

    /// Preloads the active versions of adapters that are resident in another version.
    fn preload_new_versions(&mut self) {
        let catalogue = self.replica.catalogue();
        let active_spec = |name: &str| catalogue.resolve(name, None).ok();
        let upstreams = self.scheduler.upstreams();
        let resident = upstreams.flat_map(|(_, upstream)| upstream.residents.keys());
        let new_versions: Vec<(AdapterRef, Box<str>)> = resident
            .filter_map(|adapter| {
                let spec = active_spec(&adapter.name)?;
                let is_newer = spec.version != adapter.version;
                is_newer.then(|| (spec.adapter_ref(), spec.base_model.clone()))
            })
            .collect();
        for (adapter, base_model) in new_versions {
            self.scheduler.preload(adapter, &base_model);
        }
        self.scheduler.retain_preloads(|adapter| {
            active_spec(&adapter.name).is_some_and(|spec| spec.version == adapter.version)
        });
    }
}
