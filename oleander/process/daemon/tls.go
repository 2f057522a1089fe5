package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/process/certs"
)

// peerTLS loads the certificates and returns the TLS configurations for connections
// between instances.
func peerTLS(ca, cert, key string) (server, client *tls.Config, err error) {
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, nil, errors.Wrap(err, "daemon: read the CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("daemon: %s contains no PEM certificate", ca)
	}
	certificate, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "daemon: load the instance certificate")
	}
	server, client = certs.TLSConfigs(pool, certificate)
	return server, client, nil
}
