//! What this instance knows of streams and of the versions that may have begun them.

use {
    crate::{
        fleet::tell,
        state::{
            Shared,
            Tables, //
        },
    },
    policy::{
        streams::{
            Knowledge,
            StreamKey,
            StreamOrigin,
            StreamRecord, //
        },
        ServiceId,
        Span,
        Time, //
    },
};

impl Shared {
    /// Returns a time that is longer than any stream lasts.
    pub(crate) fn stream_span(&self) -> Span {
        let current = self.current_config();
        current.map_or(Span::ZERO, |c| c.config.stream_span().into())
    }

    /// Returns what is known of a stream of one of these services.
    pub(crate) fn stream_knowledge(&self, key: StreamKey, services: &[ServiceId]) -> Knowledge {
        let span = self.stream_span();
        let now = self.now();
        let tables = self.tables();
        Knowledge {
            record: tables.streams.get(key, now),
            recent: tables.recent_versions(services, span, now),
            known_for: tables.versions.known_for(now),
            list_age: tables.roster.age(now),
        }
    }

    /// Records what began a stream, before its first event is forwarded. Other routers are told of
    /// it unless its service has had one version only for longer than any stream lasts.
    pub(crate) async fn record_stream(&self, record: StreamRecord) {
        let span = self.stream_span();
        let now = self.now();
        let settled = {
            let mut tables = self.tables();
            tables.streams.record_own(&record, now);
            let service = &record.origin.service;
            let settled = tables.versions.is_settled(service, span, now);
            if !settled {
                tables.streams.mark_told(record.key);
            }
            settled
        };
        if !settled {
            tell(self, vec![record]).await;
        }
    }

    /// Tells other routers of the streams that began here before a further version was listed.
    pub(crate) async fn tell_untold_streams(&self) {
        let span = self.stream_span();
        let now = self.now();
        let untold = {
            let mut tables = self.tables();
            let Tables {
                streams, versions, ..
            } = &mut *tables;
            streams.take_untold(|service| !versions.is_settled(service, span, now), now)
        };
        if !untold.is_empty() {
            log::info!("event=streams outcome=told count={}", untold.len());
            tell(self, untold).await;
        }
    }
}

impl Tables {
    fn recent_versions(&self, services: &[ServiceId], span: Span, now: Time) -> Vec<StreamOrigin> {
        let services = services.iter();
        let recent = services.flat_map(|s| self.versions.recent(s, span, now));
        recent.collect()
    }
}
