//! Compiles a snapshot into a [`RoutingTable`].

use std::collections::{BTreeMap, BTreeSet};

use http::{HeaderName, Method};
use thiserror::Error;
use umberpond_config::{Route, Snapshot};
use umberpond_model::{RouteName, SecretName, ServiceName, Version};

use super::credential::CredentialValue;
use super::table::{CompiledRoute, RoutingTable, ServiceRoutes};
use crate::headers;

/// A snapshot that can't be put in force on this node. Nothing changes when this is returned.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CompileError {
    /// A route points at a service that the snapshot lacks.
    #[error("route `{route}` points at service `{service}`, which this node lacks")]
    MissingService {
        /// The route.
        route: RouteName,
        /// The service it points at.
        service: ServiceName,
    },
    /// A route needs a secret that this node has not opened.
    #[error("route `{route}` needs secret `{secret}`, which this node lacks")]
    MissingSecret {
        /// The route.
        route: RouteName,
        /// The secret.
        secret: SecretName,
    },
    /// A route sets a header whose name is invalid or belongs to the proxies.
    #[error("route `{route}` may not set the header `{header}`")]
    ForbiddenHeader {
        /// The route.
        route: RouteName,
        /// Name of the header.
        header: String,
    },
    /// A route lists something that is not a method.
    #[error("route `{route}` lists `{method}`, which is not a method")]
    InvalidMethod {
        /// The route.
        route: RouteName,
        /// The method as given.
        method: String,
    },
}

impl RoutingTable {
    /// Compiles the routes of `snapshot` that one of `callers` may use. `opened` holds the values of the secrets
    /// that these routes need.
    ///
    /// # Errors
    /// Returns [`CompileError`] if the snapshot is not closed for this node; nothing is compiled in part.
    pub fn compile(
        version: Version,
        snapshot: &Snapshot,
        opened: &BTreeMap<SecretName, CredentialValue>,
        callers: &BTreeSet<ServiceName>,
    ) -> Result<Self, CompileError> {
        let mut routes: BTreeMap<ServiceName, ServiceRoutes> = BTreeMap::new();
        for (name, route) in &snapshot.routes {
            if route.callers.is_disjoint(callers) {
                continue;
            }
            let Some(service) = snapshot.services.get(&route.service) else {
                return Err(CompileError::MissingService {
                    route: name.clone(),
                    service: route.service.clone(),
                });
            };
            let compiled = compile_route(route, opened)?;
            routes
                .entry(service.name.clone())
                .or_default()
                .insert(normalized_prefix(&route.path_prefix), compiled);
        }
        Ok(Self::new(version, snapshot.services.clone(), routes))
    }
}

/// A prefix without its trailing slashes, so that matching ends at a path segment.
fn normalized_prefix(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

fn compile_route(
    route: &Route,
    opened: &BTreeMap<SecretName, CredentialValue>,
) -> Result<CompiledRoute, CompileError> {
    let mut methods = Vec::with_capacity(route.methods.len());
    for method in &route.methods {
        let parsed = Method::from_bytes(method.as_bytes())
            .map_err(|_| CompileError::InvalidMethod { route: route.name.clone(), method: method.clone() })?;
        methods.push(parsed);
    }
    let mut credentials = Vec::with_capacity(route.credentials.len());
    for credential in &route.credentials {
        let header = credential_header(route, &credential.header)?;
        let Some(value) = opened.get(&credential.secret) else {
            return Err(CompileError::MissingSecret {
                route: route.name.clone(),
                secret: credential.secret.clone(),
            });
        };
        credentials.push((header, value.header_value().clone()));
    }
    Ok(CompiledRoute {
        name: route.name.clone(),
        service: route.service.clone(),
        methods,
        idempotent: route.idempotent,
        class: route.class,
        timeout: route.timeout,
        credentials,
    })
}

fn credential_header(route: &Route, name: &str) -> Result<HeaderName, CompileError> {
    HeaderName::from_bytes(name.as_bytes())
        .ok()
        .filter(|header| !headers::is_reserved(header))
        .ok_or_else(|| CompileError::ForbiddenHeader { route: route.name.clone(), header: name.to_owned() })
}
