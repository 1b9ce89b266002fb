//! Organisation of each call: determined at the ingress, and checked again where a newer version
//! is in force before the call runs.

use super::call::{CallHead, ForwardHead};
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::{Call, Stage};
use super::table::RouteRule;
use super::{Routing, TargetKey};
use crate::context::Context;
use crate::ids::{CallId, Name};
use crate::organisation::{Credential, IdentityHeaders, Unverified, VerifiedKey};

/// Organisation of a caller, as derived from the key of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct Identity {
    pub organisation: Option<Name>,
    pub key: Option<VerifiedKey>,
    /// Priority of the organisation, if it has one.
    pub priority: Option<u8>,
}

impl Routing {
    /// Determines the organisation of a caller's call.
    pub(super) fn identify(
        &self,
        head: &CallHead,
        rule: &RouteRule,
    ) -> Result<Identity, RefusalCode> {
        if !self.organisations.is_declared() {
            return Ok(Identity::default());
        }
        let found = match head.credential {
            Credential::Key(digest) => self.organisations.find(digest).map(|found| (digest, found)),
            Credential::Absent | Credential::Malformed => None,
        };
        if let Some((digest, organisation)) = found {
            let version = self.organisations.version();
            let key = VerifiedKey { digest, version, is_required: !rule.is_public };
            return Ok(Identity {
                organisation: Some(organisation.name.clone()),
                key: Some(key),
                priority: organisation.priority,
            });
        }
        match head.credential {
            _ if rule.is_public => Ok(Identity::default()),
            Credential::Malformed => Err(RefusalCode::BadCredential),
            // A newer version may contain the key.
            Credential::Key(_) if self.may_be_outdated => Err(RefusalCode::OutdatedConfiguration),
            Credential::Key(_) | Credential::Absent => Err(RefusalCode::Unauthenticated),
        }
    }

    /// Checks the organisation that an ingress determined, if this process may have a newer
    /// version than the ingress.
    pub(super) fn recheck_forwarded(&self, forward: &ForwardHead) -> Result<Identity, RefusalCode> {
        let as_sent = Identity {
            organisation: forward.organisation.clone(),
            key: forward.key,
            priority: None,
        };
        let Some(key) = forward.key else { return Ok(as_sent) };
        match self.organisations.recheck(key) {
            Ok(None) => Ok(as_sent),
            Ok(Some(found)) => Ok(Identity {
                organisation: found.map(|organisation| organisation.name.clone()),
                key: found.map(|_| VerifiedKey { version: self.organisations.version(), ..key }),
                priority: found.and_then(|organisation| organisation.priority),
            }),
            Err(Unverified) => Err(RefusalCode::Unauthenticated),
        }
    }

    /// Checks the key of a call again that waited while a newer version came into force.
    pub(super) fn recheck_key(&mut self, id: CallId) -> Result<(), RefusalCode> {
        let call = self.calls.get_mut(&id).expect("the call is in flight");
        let Some(key) = call.key else { return Ok(()) };
        let found = self.organisations.recheck(key);
        let found = found.map_err(|Unverified| RefusalCode::Unauthenticated)?;
        let Some(found) = found else { return Ok(()) };
        call.organisation = found.map(|organisation| organisation.name.clone());
        call.key = found.map(|_| VerifiedKey { version: self.organisations.version(), ..key });
        // A queued call keeps its place, and its slot is counted under the priority of its queueing.
        if !matches!(call.stage, Stage::Queued(_)) {
            let of_policy = call.rule.as_ref().map_or(call.priority, |rule| rule.policy.priority);
            let of_organisation = found.and_then(|organisation| organisation.priority);
            call.priority = of_organisation.unwrap_or(of_policy);
        }
        Ok(())
    }

    /// Refuses queued calls whose keys are gone in the version that has come into force.
    pub(super) fn refuse_revoked(&mut self, cx: &mut Context<'_>) {
        let queued = self.calls.iter().filter_map(|(id, call)| match call.stage {
            Stage::Queued(target) if call.key.is_some() => Some((*id, target)),
            _ => None,
        });
        let mut queued: Vec<(CallId, TargetKey)> = queued.collect();
        queued.sort_unstable();
        for (id, target) in queued {
            if !self.calls.contains_key(&id) {
                continue;
            }
            if let Err(code) = self.recheck_key(id) {
                if let Some(admission) = &mut self.targets[target].admission {
                    admission.remove(id);
                }
                self.attempt_failed(cx, id, Refusal { code, outcome: Outcome::NotRun });
            }
        }
    }

    /// What is done with the headers of an attempt that identify the organisation. The owner of
    /// the target adds the name, so a proxy that forwards a call only removes headers.
    pub(super) fn identity_headers(&self, call: &Call, is_dispatched: bool) -> IdentityHeaders {
        if !self.organisations.is_declared() && call.organisation.is_none() {
            return IdentityHeaders::Unchanged;
        }
        IdentityHeaders::Replaced(call.organisation.clone().filter(|_| is_dispatched))
    }
}
