/** Why a node refused to send a request to a backend server. Each reason implies that the request has not run. */
export type ServingRefusalReason =
  | 'no-configuration'
  | 'no-route'
  /** No route or key is known, or keys may have been removed, and the configuration may have changed meanwhile. */
  | 'configuration-outdated'
  | 'no-host'
  /** The queue is too long for the request to meet its deadline. */
  | 'busy'
  /** The request was queued until it could no longer meet its deadline. */
  | 'expired'
  /** No status report has been received since the node or the backend server started. */
  | 'instance-unknown'
  | 'instance-draining'
  | 'instance-down'
  | 'evacuated'
  | 'version-not-allowed'
  | 'version-cut'
  /** Backend servers have crashed while they ran this request. */
  | 'crash-suspect'
  | 'stopping'
  /** The address now belongs to a host of another service. */
  | 'wrong-service'
  /** The backend server itself refused the request. */
  | 'shed-by-instance'
  /** No connection to the host could be established. */
  | 'host-unreachable'
  /** Too much data is already queued for sending to the host. */
  | 'link-full'
  | 'body-too-large'
  /** The buffers of the node are full, and this request's body was the largest one. */
  | 'buffers-full'
  /** The caller sent data that is not a valid HTTP request. */
  | 'malformed'
  /** The route needs a team's key, and the request carries none. */
  | 'key-missing'
  /** The request's `Authorization` is repeated, over-long or in another format. */
  | 'key-malformed'
  /** No team has the key. */
  | 'key-unknown'

/** Why it is unknown whether a request ran, or why its response cannot be used. */
export type ServingLossReason =
  | 'connection-lost'
  | 'answer-truncated'
  | 'answer-mismatched'
  | 'answer-unsigned'
  /** The head of the response is accepted by the HTTP parser but cannot be sent to the caller. */
  | 'answer-malformed'
  /** The response exceeds the maximum length expected of a backend server. */
  | 'answer-endless'
  | 'host-silent'
  | 'duplicate-attempt'
  | 'deadline'
  /** The node failed while it handled the request. */
  | 'internal-error'

/** Why the load that a backend server states in a response is ignored. */
export type InstanceLoadFault = 'malformed' | 'repeated' | 'contradictory'
