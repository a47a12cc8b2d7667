//! What the platform's store says: configuration, versions and upstreams.

use crate::control::Control;
use crate::ports::Decoder;
use crate::ports::Item;
use crate::watch::Topic;
use dogwoodshunt_border::kv::Change;
use dogwoodshunt_border::kv::Listing;
use dogwoodshunt_border::kv::Record;
use dogwoodshunt_serving::Config;
use dogwoodshunt_serving::config::RouteTable;
use dogwoodshunt_serving::registry::Listed;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::frame::DeclaredVersion;
use slog::info;
use slog::warn;
use std::time::Instant;

impl<D: Decoder> Control<D> {
    pub(super) fn on_listing(&mut self, now: Instant, topic: Topic, listing: &Listing) {
        match topic {
            Topic::Operator => {
                for record in &listing.records {
                    self.on_operator_record(record);
                }
            }
            Topic::Upstreams => {
                let records = listing.records.iter();
                let listed = records.filter_map(|record| self.read_upstream(record));
                let listed: Vec<Listed> = listed.collect();
                info!(self.around.log, "upstreams listed"; "count" => listed.len(),
                    "revision" => listing.revision);
                self.registry.on_list(now, listed);
                self.around.status.set_upstreams_known();
            }
        }
        self.apply_registry(now);
    }

    pub(super) fn on_changes(&mut self, now: Instant, topic: Topic, changes: Vec<Change>) {
        for change in changes {
            match (topic, change) {
                (Topic::Operator, Change::Put(record)) => self.on_operator_record(&record),
                // What was in force stays so; operators replace, they don't delete.
                (Topic::Operator, Change::Deleted { key, revision }) => {
                    info!(self.around.log, "operator's record deleted"; "key" => %key,
                        "revision" => revision);
                }
                (Topic::Upstreams, Change::Put(record)) => {
                    if let Some(listed) = self.read_upstream(&record) {
                        self.registry.on_listed(listed);
                    }
                }
                (Topic::Upstreams, Change::Deleted { key, revision }) => {
                    let name = self.decoder.upstream_of(&key);
                    info!(self.around.log, "upstream gone"; "upstream" => %name,
                        "revision" => revision);
                    self.registry.on_removed(now, &name);
                }
            }
        }
        self.apply_registry(now);
    }

    fn on_operator_record(&mut self, record: &Record) {
        match self.decoder.decode(record) {
            Item::Config(config) => self.on_config(*config),
            Item::Version(declared) => self.on_declared(declared),
            Item::Unreadable(why) => {
                warn!(self.around.log, "record not read"; "key" => %record.key, "why" => %why);
            }
            Item::Upstream(_) => {
                warn!(self.around.log, "upstream among operator's records"; "key" => %record.key);
            }
        }
    }

    /// Puts a configuration in force; an older one than the present is passed over.
    fn on_config(&mut self, config: Config) {
        let held = self.around.status.routes();
        let held = held.map_or(0, |table| table.config().revision);
        if config.revision <= held {
            return;
        }
        info!(self.around.log, "config in force"; "revision" => config.revision,
            "before" => held, "routes" => config.routes.len());
        let rises = invariant::check(
            Invariant::RevisionNeverReverts,
            config.revision > held,
            &format_args!("{} after {held}", config.revision),
        );
        if rises {
            let revision = i64::try_from(config.revision).unwrap_or(i64::MAX);
            self.around.metrics.config_revision.set(revision);
            self.around.status.set_routes(RouteTable::new(config));
            self.tell_terms_to_all();
        }
    }

    fn on_declared(&mut self, declared: DeclaredVersion) {
        let held = self.versions.get(&declared.adapter.name);
        if held.is_some_and(|held| held.revision >= declared.revision) {
            return;
        }
        info!(self.around.log, "version declared"; "adapter" => %declared.adapter,
            "revision" => declared.revision);
        let name = declared.adapter.name.clone();
        self.versions.insert(name, declared);
        self.tell_terms_to_all();
    }

    fn read_upstream(&self, record: &Record) -> Option<Listed> {
        match self.decoder.decode(record) {
            Item::Upstream(listed) => Some(listed),
            Item::Unreadable(why) => {
                // Such an entry names no upstream to use; the others hold.
                warn!(self.around.log, "record not read"; "key" => %record.key, "why" => %why);
                None
            }
            Item::Config(_) | Item::Version(_) => None,
        }
    }

    /// Brings pools and agents into line with the list of upstreams.
    pub(super) fn apply_registry(&mut self, now: Instant) {
        let Some(table) = self.around.status.routes() else {
            return;
        };
        let listed: Vec<Listed> = self.registry.upstreams().cloned().collect();
        for service in &table.config().services {
            let of_service = listed.iter().filter(|l| l.service == service.name);
            if service.engine.is_some() {
                self.apply_engines(now, &service.name, of_service);
                continue;
            }
            let pool = self.pools.entry(service.name.clone()).or_default();
            for upstream in of_service {
                let (address, domain) = (upstream.address, &upstream.domain);
                pool.set(&upstream.name, address, domain, upstream.leaving);
            }
            let current = |name: &str| listed.iter().any(|l| *l.name == *name);
            pool.retain(current);
        }
    }
}
