/** Why a node did not send a request to a backend server. All of them mean that the request has not run. */
export type ServingRefusal =
  | 'no-configuration'
  | 'no-route'
  | 'no-host'
  /** The queue is too long for the request's deadline. */
  | 'busy'
  /** The request waited until it could no longer be answered in time. */
  | 'expired'
  /** No status report has arrived since the node or the backend server started. */
  | 'instance-unknown'
  | 'instance-draining'
  | 'instance-down'
  | 'evacuated'
  | 'version-not-allowed'
  | 'version-cut'
  | 'stopping'
  /** The address now belongs to the host of another service. */
  | 'wrong-service'
  /** The backend server itself refused. */
  | 'shed-by-instance'
  /** No connection to the host was made. */
  | 'host-unreachable'
  /** Too much waits already to be sent to the host. */
  | 'link-full'
  | 'body-too-large'
  /** The bytes of a caller are no request. */
  | 'malformed'

/** Why it is not known whether a request ran, or why its answer cannot be used. */
export type ServingLoss =
  | 'connection-lost'
  | 'answer-truncated'
  | 'answer-mismatched'
  | 'answer-unsigned'
  /** Longer than any answer that a backend server is expected to give. */
  | 'answer-endless'
  | 'host-silent'
  | 'duplicate-attempt'
  | 'deadline'
