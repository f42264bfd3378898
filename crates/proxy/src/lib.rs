//! The request path: inbound and outbound halves over hyper.
